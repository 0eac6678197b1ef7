package settings

import (
	"fmt"
	"net"
	"strings"
)

// Host identifies this host and sets its listen addresses, each as IP:port.
type Host struct {
	Name          string   `ini:"name"`
	Domain        string   `ini:"domain"`                    // failure domain
	Regions       []string `ini:"regions" default:""`        // region of each failure domain, as domain=region
	Listen        string   `ini:"listen"`                    // for callers
	ReadyListen   string   `ini:"ready_listen"`              // for readiness checks
	PeerListen    string   `ini:"peer_listen"`               // for other hosts
	DialIP        string   `ini:"dial_ip" default:""`        // local IP of connections to targets; empty: the system chooses it
	MetricsListen string   `ini:"metrics_listen" default:""` // empty: metrics are not served
	Seeds         []string `ini:"seeds" default:""`          // peer addresses of hosts to join through
}

func (h Host) check() error {
	for _, a := range []struct{ key, value string }{
		{"listen", h.Listen}, {"ready_listen", h.ReadyListen}, {"peer_listen", h.PeerListen},
	} {
		if err := checkAddress("host", a.key, a.value); err != nil {
			return err
		}
	}
	if h.MetricsListen != "" {
		if err := checkAddress("host", "metrics_listen", h.MetricsListen); err != nil {
			return err
		}
	}
	if h.DialIP != "" && net.ParseIP(h.DialIP) == nil {
		return invalidValue("host", "dial_ip", h.DialIP, "is not an IP address")
	}
	return h.checkRegions()
}

func (h Host) checkRegions() error {
	for _, entry := range h.Regions {
		if domain, region, ok := strings.Cut(entry, "="); !ok || domain == "" || region == "" {
			return invalidValue("host", "regions", entry, "is not a failure domain and its region such as a1=north")
		}
	}
	return nil
}

// RegionOf returns the region of each failure domain that the settings list.
func (h Host) RegionOf() map[string]string {
	regions := make(map[string]string, len(h.Regions))
	for _, entry := range h.Regions {
		domain, region, _ := strings.Cut(entry, "=")
		regions[domain] = region
	}
	return regions
}

// Log configures access to the shared log. Times are in milliseconds.
type Log struct {
	Address     string  `ini:"address"`
	Partitions  int     `ini:"partitions" default:"12"`       // per topic
	RecordBytes int     `ini:"record_bytes" default:"262144"` // largest record that the log accepts
	LongPollMs  float64 `ini:"long_poll_ms" default:"1000"`
	TimeoutMs   float64 `ini:"timeout_ms" default:"1000"` // without a byte of the response, on top of the requested long poll
	PaceMs      float64 `ini:"pace_ms" default:"450"`     // minimum interval between reads of the target list
}

func (l Log) check() error {
	if l.Partitions < 1 {
		return invalidValue("log", "partitions", "0", "is less than 1")
	}
	return checkAddress("log", "address", l.Address)
}

// Bounds are the guarantees that the operator relies on.
type Bounds struct {
	DrainMs      float64 `ini:"drain_ms" default:"2000"`     // after this time a draining target gets no new requests
	GraceS       float64 `ini:"grace_s" default:"8"`         // a planned shutdown finishes within this time
	RetryRatio   float64 `ini:"retry_ratio" default:"0.2"`   // attempts beyond the first that reach targets, per request
	RetrySlack   float64 `ini:"retry_slack" default:"20"`    // such attempts on top of the ratio, across all hosts
	RetryWindowS float64 `ini:"retry_window_s" default:"10"` // the two retry bounds hold in any window of this length
	ConfigMs     float64 `ini:"config_ms" default:"2000"`    // after this time a change of the configuration is in force at all hosts
	EvacuateMs   float64 `ini:"evacuate_ms" default:"0"`     // after this time an evacuated failure domain gets no new requests
	// In any second all hosts together send a cold target at most cold_overrun times the
	// rate that it can take, plus cold_slack requests.
	ColdOverrun float64 `ini:"cold_overrun" default:"1"`
	ColdSlack   float64 `ini:"cold_slack" default:"0"`
	// A faulty new version gets at most exposure_share of a service's requests, plus
	// exposure_slack requests.
	ExposureShare float64 `ini:"exposure_share" default:"0.1"`
	ExposureSlack float64 `ini:"exposure_slack" default:"50"`
	// In any window of limit_window_s all hosts together send a target that advertises a rate
	// limit at most limit_overrun times what the limit allows, plus limit_slack requests.
	LimitOverrun float64 `ini:"limit_overrun" default:"1.5"`
	LimitSlack   float64 `ini:"limit_slack" default:"5"`
	LimitWindowS float64 `ini:"limit_window_s" default:"4"`
}

func (b Bounds) check() error {
	if b.RetryWindowS <= 0 {
		return invalidValue("bounds", "retry_window_s", "0", "is not above 0")
	}
	if b.ConfigMs <= 0 {
		return invalidValue("bounds", "config_ms", fmt.Sprint(b.ConfigMs), "is not above 0")
	}
	if b.ExposureShare <= 0 || b.ExposureShare > 1 {
		return invalidValue("bounds", "exposure_share", fmt.Sprint(b.ExposureShare), "is not a share above 0 and up to 1")
	}
	if b.ColdOverrun <= 0 {
		return invalidValue("bounds", "cold_overrun", fmt.Sprint(b.ColdOverrun), "is not above 0")
	}
	if b.LimitOverrun < 1 {
		return invalidValue("bounds", "limit_overrun", fmt.Sprint(b.LimitOverrun), "is less than 1")
	}
	if b.LimitWindowS <= 0 {
		return invalidValue("bounds", "limit_window_s", fmt.Sprint(b.LimitWindowS), "is not above 0")
	}
	return nil
}

// Targets configures connections to targets. Times are in milliseconds.
type Targets struct {
	DialMs        float64 `ini:"dial_ms" default:"300"`
	IdleMs        float64 `ini:"idle_ms" default:"20000"` // how long an unused connection is kept
	MaxIdle       int     `ini:"max_idle" default:"32"`   // unused connections kept per target
	UserTimeoutMs float64 `ini:"user_timeout_ms" default:"3000"`
	// UnreadBytes bounds the memory for requests that targets have not read. Above half of it the
	// requests that have waited longest are aborted.
	UnreadBytes int `ini:"unread_bytes" default:"16777216"`
	// UnreadBytesPerTarget is the same for one target; above it, the target gets no further long requests.
	UnreadBytesPerTarget int `ini:"unread_bytes_per_target" default:"2097152"`
}

func (t Targets) check() error {
	if t.UnreadBytes <= 0 {
		return invalidValue("targets", "unread_bytes", fmt.Sprint(t.UnreadBytes), "is not above 0")
	}
	if t.UnreadBytesPerTarget <= 0 {
		return invalidValue("targets", "unread_bytes_per_target", fmt.Sprint(t.UnreadBytesPerTarget), "is not above 0")
	}
	if t.UnreadBytesPerTarget > t.UnreadBytes {
		return invalidValue("targets", "unread_bytes_per_target", fmt.Sprint(t.UnreadBytesPerTarget), "is more than unread_bytes")
	}
	return nil
}

// Callers configures the connections of callers.
type Callers struct {
	// UnreadBytes bounds the memory for response bytes that callers have not read. Above it
	// the connections that have been blocked longest are closed.
	UnreadBytes int `ini:"unread_bytes" default:"16777216"`
	// BodyS bounds the time, in seconds, in which the body of a request must arrive. An earlier deadline of the request counts.
	BodyS float64 `ini:"body_s" default:"60"`
}

func (c Callers) check() error {
	if c.UnreadBytes <= 0 {
		return invalidValue("callers", "unread_bytes", fmt.Sprint(c.UnreadBytes), "is not above 0")
	}
	if c.BodyS <= 0 {
		return invalidValue("callers", "body_s", fmt.Sprint(c.BodyS), "is not above 0")
	}
	return nil
}

// Capacity is what this host can carry.
type Capacity struct {
	// LinkMbps is the speed of the network link in each direction in Mbit/s; 0: unknown, then callers are moved and
	// refused only once connections to targets are slow.
	LinkMbps float64 `ini:"link_mbps" default:"0"`
	// MemoryMb is the memory of the machine in MB, and Descriptors how many the process may have open; 0: as the system tells.
	// Clients of all listeners together may use a part of them.
	MemoryMb    int `ini:"memory_mb" default:"0"`
	Descriptors int `ini:"descriptors" default:"0"`
}

func (c Capacity) check() error {
	if !(c.LinkMbps <= maxLinkMbps) {
		return invalidValue("capacity", "link_mbps", fmt.Sprint(c.LinkMbps), "is not a speed in Mbit/s up to 10000000")
	}
	if c.MemoryMb > 0 && c.MemoryMb < minMemoryMb {
		return invalidValue("capacity", "memory_mb", fmt.Sprint(c.MemoryMb), fmt.Sprintf("is neither 0 nor %d or more", minMemoryMb))
	}
	if c.Descriptors > 0 && c.Descriptors < minDescriptors {
		return invalidValue("capacity", "descriptors", fmt.Sprint(c.Descriptors), fmt.Sprintf("is neither 0 nor %d or more", minDescriptors))
	}
	return nil
}

// A host with less serves nobody.
const (
	minMemoryMb    = 64
	minDescriptors = 256
)

// maxLinkMbps is faster than any link, so that a speed in other units is noticed.
const maxLinkMbps = 1e7

// Budgets configures the allocations that hosts hold of prepaid budgets.
type Budgets struct {
	HorizonS       float64 `ini:"horizon_s" default:"11"`        // how long an allocation lasts at the current demand
	FullSpanS      float64 `ini:"full_span_s" default:"25"`      // hosts hold up to most_part of a budget that lasts at least this long, and less of a shorter one
	MostPart       float64 `ini:"most_part" default:"0.35"`      // maximum share of the unspent budget that all hosts hold together
	LeastPart      float64 `ini:"least_part" default:"0.02"`     // the same share when the budget is nearly exhausted
	EvenPart       float64 `ini:"even_part" default:"0.6"`       // part of an even share of the allocated tokens that a host holds regardless of its demand
	MostShares     float64 `ini:"most_shares" default:"1"`       // maximum number of even shares per host
	KeeperHorizonS float64 `ini:"keeper_horizon_s" default:"15"` // where only a few hosts (keepers) hold a budget: how long their allocations last together at the peak of use
	KeeperPart     float64 `ini:"keeper_part" default:"0.7"`     // maximum share of the unspent budget that keepers hold together
	KeeperSpanS    float64 `ini:"keeper_span_s" default:"25"`    // keepers hold keeper_part of a budget that lasts at least this long, and a smaller share of a shorter one; 0: always keeper_part
	IntervalMs     float64 `ini:"interval_ms" default:"400"`     // between checks of the accounts
	WaitMs         float64 `ini:"wait_ms" default:"120"`         // how long a request waits for tokens
}

func (b Budgets) check() error {
	for _, part := range []struct {
		key   string
		value float64
	}{{"most_part", b.MostPart}, {"least_part", b.LeastPart}, {"keeper_part", b.KeeperPart}} {
		if part.value > 1 {
			return invalidValue("budgets", part.key, fmt.Sprint(part.value), "is more than 1")
		}
	}
	return nil
}

// Output configures the log on standard output.
type Output struct {
	Level          string  `ini:"level" default:"info"`
	LinesPerSecond float64 `ini:"lines_per_second" default:"200"` // for finished requests and attempts; dropped lines are counted
	Buffer         int     `ini:"buffer" default:"1024"`          // lines waiting to be written
	AccountS       float64 `ini:"account_s" default:"10"`         // between the log lines on held budgets; 0: none
}

func (o Output) check() error { return checkLevel(o.Level) }
