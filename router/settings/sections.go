package settings

import (
	"fmt"
	"strings"
)

// Host says what this host is and where it listens. Addresses are IP:port.
type Host struct {
	Name          string   `ini:"name"`
	Domain        string   `ini:"domain"`                    // failure domain
	Regions       []string `ini:"regions" default:""`        // of the failure domains, each as domain=region
	Listen        string   `ini:"listen"`                    // callers
	ReadyListen   string   `ini:"ready_listen"`              // who asks whether this host is ready
	PeerListen    string   `ini:"peer_listen"`               // other hosts
	MetricsListen string   `ini:"metrics_listen" default:""` // empty: no metrics
	Seeds         []string `ini:"seeds" default:""`          // peer addresses of some other hosts
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
		return checkAddress("host", "metrics_listen", h.MetricsListen)
	}
	return h.checkRegions()
}

func (h Host) checkRegions() error {
	for _, entry := range h.Regions {
		if domain, region, ok := strings.Cut(entry, "="); !ok || domain == "" || region == "" {
			return bad("host", "regions", entry, "is not a failure domain and its region such as a1=north")
		}
	}
	return nil
}

// RegionOf gives the region of each failure domain.
func (h Host) RegionOf() map[string]string {
	regions := make(map[string]string, len(h.Regions))
	for _, entry := range h.Regions {
		domain, region, _ := strings.Cut(entry, "=")
		regions[domain] = region
	}
	return regions
}

// Log says how the shared log is reached. Times are milliseconds.
type Log struct {
	Address     string  `ini:"address"`
	Partitions  int     `ini:"partitions" default:"12"`       // of a topic
	RecordBytes int     `ini:"record_bytes" default:"262144"` // largest record that it takes
	LongPollMs  float64 `ini:"long_poll_ms" default:"1000"`
	TimeoutMs   float64 `ini:"timeout_ms" default:"1000"` // of silence of an answer, beyond the wait asked for
	PaceMs      float64 `ini:"pace_ms" default:"450"`     // least time between two reads of the list of targets
}

func (l Log) check() error {
	if l.Partitions < 1 {
		return bad("log", "partitions", "0", "is less than 1")
	}
	return checkAddress("log", "address", l.Address)
}

// Bounds are the promises that the operator counts on.
type Bounds struct {
	DrainMs      float64 `ini:"drain_ms" default:"2000"`     // a leaving target gets nothing new after it
	GraceS       float64 `ini:"grace_s" default:"8"`         // a planned stop ends within it
	RetryRatio   float64 `ini:"retry_ratio" default:"0.2"`   // arrivals beyond the first, for each request
	RetrySlack   float64 `ini:"retry_slack" default:"20"`    // and so many more, of all hosts together
	RetryWindowS float64 `ini:"retry_window_s" default:"10"` // in any span of this length
	EvacuateMs   float64 `ini:"evacuate_ms" default:"0"`     // an evacuated failure domain gets nothing new after it
	// A cold target gets at most cold_overrun times what it bears and cold_slack more, from
	// all hosts together in any second.
	ColdOverrun float64 `ini:"cold_overrun" default:"1"`
	ColdSlack   float64 `ini:"cold_slack" default:"0"`
	// A new version that turns out bad gets at most this part of a service's requests, and so
	// many more.
	ExposureShare float64 `ini:"exposure_share" default:"0.1"`
	ExposureSlack float64 `ini:"exposure_slack" default:"50"`
	// A target that names a limit gets at most limit_overrun times what that allows and limit_slack
	// more, from all hosts together in any span of limit_window_s.
	LimitOverrun float64 `ini:"limit_overrun" default:"1.5"`
	LimitSlack   float64 `ini:"limit_slack" default:"5"`
	LimitWindowS float64 `ini:"limit_window_s" default:"4"`
}

func (b Bounds) check() error {
	if b.RetryWindowS <= 0 {
		return bad("bounds", "retry_window_s", "0", "is not above 0")
	}
	if b.ExposureShare <= 0 || b.ExposureShare > 1 {
		return bad("bounds", "exposure_share", fmt.Sprint(b.ExposureShare), "is not a part above 0")
	}
	if b.ColdOverrun <= 0 {
		return bad("bounds", "cold_overrun", fmt.Sprint(b.ColdOverrun), "is not above 0")
	}
	if b.LimitOverrun < 1 {
		return bad("bounds", "limit_overrun", fmt.Sprint(b.LimitOverrun), "is less than 1")
	}
	if b.LimitWindowS <= 0 {
		return bad("bounds", "limit_window_s", fmt.Sprint(b.LimitWindowS), "is not above 0")
	}
	return nil
}

// Targets says how targets are reached. Times are milliseconds.
type Targets struct {
	DialMs        float64 `ini:"dial_ms" default:"300"`
	IdleMs        float64 `ini:"idle_ms" default:"20000"` // an unused connection is kept so long
	MaxIdle       int     `ini:"max_idle" default:"32"`   // unused connections to one target
	UserTimeoutMs float64 `ini:"user_timeout_ms" default:"3000"`
}

// Callers says what is done for callers.
type Callers struct {
	// UnreadBytes are held at most for callers that don't read their answers; beyond it those
	// that have waited longest are cut.
	UnreadBytes int `ini:"unread_bytes" default:"16777216"`
}

func (c Callers) check() error {
	if c.UnreadBytes <= 0 {
		return bad("callers", "unread_bytes", fmt.Sprint(c.UnreadBytes), "is not above 0")
	}
	return nil
}

// Budgets says how slices of prepaid budgets are held.
type Budgets struct {
	HorizonS       float64 `ini:"horizon_s" default:"11"`        // a slice lasts so long at the present demand
	FullSpanS      float64 `ini:"full_span_s" default:"25"`      // a budget that lasts so long is held by most_part
	MostPart       float64 `ini:"most_part" default:"0.35"`      // of what is unspent all hosts hold at most
	LeastPart      float64 `ini:"least_part" default:"0.02"`     // near its end
	EvenPart       float64 `ini:"even_part" default:"0.6"`       // of an even share of that, a host holds whatever its demand
	MostShares     float64 `ini:"most_shares" default:"1"`       // even shares that a host holds at most
	KeeperHorizonS float64 `ini:"keeper_horizon_s" default:"18"` // where few hosts of many hold a budget: they hold so much together
	KeeperPart     float64 `ini:"keeper_part" default:"0.4"`     // of what is unspent they hold at most
	IntervalMs     float64 `ini:"interval_ms" default:"400"`     // between looks at the accounts
	WaitMs         float64 `ini:"wait_ms" default:"120"`         // a request waits so long for tokens
}

func (b Budgets) check() error {
	for _, part := range []struct {
		key   string
		value float64
	}{{"most_part", b.MostPart}, {"least_part", b.LeastPart}, {"keeper_part", b.KeeperPart}} {
		if part.value > 1 {
			return bad("budgets", part.key, fmt.Sprint(part.value), "is more than all")
		}
	}
	return nil
}

// Output says what is logged to standard output.
type Output struct {
	Level          string  `ini:"level" default:"info"`
	LinesPerSecond float64 `ini:"lines_per_second" default:"200"` // of ended requests and tries; the rest is counted
	Buffer         int     `ini:"buffer" default:"1024"`          // lines that wait to be written
	AccountS       float64 `ini:"account_s" default:"10"`         // between lines about the budgets held; 0: none
}

func (o Output) check() error { return checkLevel(o.Level) }
