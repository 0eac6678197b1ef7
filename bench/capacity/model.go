// Package capacity is the capacity model of docs/CAPACITY.md: from measured costs it
// computes the work, state and traffic of each host for a fleet of a given size.
package capacity

import "maststage.dev/bench/measure"

// Size describes a fleet and its load.
type Size struct {
	Name         string
	Hosts        int
	Regions      int
	Domains      int
	Targets      int
	Budgets      int
	Orgs         int
	Requests     float64 // per second, at the peak
	Tokens       float64 // per second, at the peak
	OnceShare    float64 // share of the requests that must not run twice
	Changes      float64 // of the configuration, per day
	Deaths       float64 // of hosts, per day
	Replacements float64 // of hosts, per day
}

// PetFood and Examora are the users' present fleets. Their sizes are given; no rates
// are given, so those are assumed. Target is the size that is required.
var (
	PetFood = Size{Name: "pet food today", Hosts: 8, Regions: 1, Domains: 3, Targets: 23, Budgets: 10, Orgs: 10, Requests: 40, Tokens: 4000, OnceShare: 0.3, Changes: 20, Deaths: 0.1, Replacements: 8}
	Examora = Size{Name: "Examora today", Hosts: 8, Regions: 1, Domains: 4, Targets: 16, Budgets: 10, Orgs: 10, Requests: 60, Tokens: 3000, OnceShare: 0.4, Changes: 20, Deaths: 0.1, Replacements: 8}
	Target  = Size{Name: "target", Hosts: 400, Regions: 7, Domains: 18, Targets: 12000, Budgets: 12000, Orgs: 670, Requests: 8400, Tokens: 3e6, OnceShare: 0.3, Changes: 9700, Deaths: 74, Replacements: 1000}
)

// Required limits, for the control work of each host.
const (
	LimitCPU     = 1.2    // % of a core
	LimitMemory  = 256e6  // bytes
	LimitBytes   = 5000.0 // per second
	LimitAppends = 100.0  // per second, all hosts
	LimitConfig  = 12.0   // seconds
)

// Settings that the model uses: those of the default settings file, and those of the plan.
const (
	pingsPerSecond     = 2.0
	settlesPerSecond   = 2.0
	appendInterval     = 0.08    // s
	horizon            = 200_000 // facts kept
	loadsPerSecond     = 2.0     // load reports of each target
	plannedLoads       = 0.1     // the same in the plan, where responses of targets carry the load too
	day                = 86400.0 // s
	allocationSeconds  = 60.0    // s of demand covered by an allocation
	relayBatch         = 100.0   // batches in the measured relay call
	groupHosts         = 8.0     // hosts in an ownership group, in the plan
	plannedTakeSeconds = 600.0   // s between takes of an allocation, in the plan
	packedBill         = 12.0    // bytes: 8 for a hashed id, 2 for tokens, 2 for framing
)

// Slopes holds the measured inputs of the model.
type Slopes struct {
	Record      map[string]float64 // bytes by kind
	FoldBill    measure.Slope
	FoldTake    measure.Slope
	FactBytes   measure.Slope
	BudgetBytes measure.Slope
	HoldBytes   measure.Slope
	MemberBytes measure.Slope
	Replicas    measure.Slope
	SnapCost    measure.Slope
	SnapBytes   measure.Slope
	PublishCost measure.Slope
	PublishSize measure.Slope
	Calls       []measure.Call
	Idle        measure.Slope
	IdleRSS     measure.Slope
	Stream      measure.Slope
	Save        measure.Slope
	Throughput  []measure.Throughput
}

func (s Slopes) call(name string) (bytes, cpu float64) {
	for _, c := range s.Calls {
		if c.Name == name {
			n := len(c.Bytes) - 1
			return c.Bytes[n], c.CPU[n]
		}
	}
	return 0, 0
}

// Role is one kind of work of a host, at one size. Rates are per second.
type Role struct {
	Name      string
	Mechanism string  // package, or the planned mechanism
	State     float64 // bytes
	Messages  float64
	Bytes     float64
	CPU       float64 // % of a core
	Path      bool    // part of serving requests, not of control
}

func percent(ns float64) float64 { return ns / 1e9 * 100 }

// Present returns the roles of a host in the present version, in which every host
// reads the whole log and exchanges heartbeats with all hosts of its region.
func Present(z Size, s Slopes) []Role {
	perHost := z.Requests / float64(z.Hosts)
	once := z.Requests * z.OnceShare
	pairs := min(float64(z.Budgets), perHost*4) // budgets that a host draws on at a time
	inRegion := float64(z.Hosts)/float64(z.Regions) - 1
	pingBytes, pingCPU := s.call("heartbeat")
	claimBytes, claimCPU := s.call("claim")
	holdBytes, holdCPU := s.call("bill held")
	loadBytes, loadCPU := s.call("load report of a target")
	_, relayCPU := s.call("relay of 100 batches of the log")
	relayed := min(appends(z), LimitAppends)       // batches per second
	views := (2*z.Deaths + 3*z.Replacements) / day // a crash adds an eviction and a join; a replacement a leave, an end and a join
	settles := settlesPerSecond * pairs * float64(z.Hosts)
	records := z.Requests + once + settles*1.2 + views*float64(z.Hosts)
	logBytes := z.Requests*s.Record["bill"] + once*s.Record["intent"] + settles*(s.Record["settle"]+0.2*s.Record["take"]) + views*float64(z.Hosts)*s.Record["flushed"]
	config := z.Changes / day
	configSize := s.PublishSize.Last() * float64(max(z.Orgs, z.Budgets))
	return []Role{
		{"entry", "daemon/entry", 0, perHost, 0, percent(perHost * s.Replicas.Last()), true},
		{"owner of request ids", "daemon/claim", min(once*horizonSeconds(z), horizon) * 100 / float64(z.Hosts), perHost * z.OnceShare * 3, perHost * z.OnceShare * 3 * claimBytes * 2, percent(perHost * z.OnceShare * 3 * claimCPU), true},
		{"holder of unlogged facts", "daemon/bill", perHost * 2 * 2 * 150, perHost * 2, perHost * 2 * holdBytes * 2, percent(perHost * 2 * holdCPU), true},
		{"holder of budget slices", "daemon/ledger", pairs * 200, settlesPerSecond * pairs * 1.2, settlesPerSecond * pairs * (s.Record["settle"] + 0.2*s.Record["take"]), 0, false},
		{"budgets in the fold", "fold/budget", float64(z.Budgets) * (s.BudgetBytes.Last() + float64(z.Hosts)*min(1, pairs/float64(z.Budgets))*s.HoldBytes.Last()), settles * 1.2, 0, percent(settles * 1.2 * s.FoldTake.Last()), false},
		{"facts in the fold", "fold/fact", min(z.Requests*3600, horizon) * s.FactBytes.Last(), z.Requests + once, 0, percent((z.Requests + once) * s.FoldBill.Last()), false},
		{"reader of the log", "daemon/logio", 4096 * 2000, records, logBytes, 0, false},
		{"relay of the log to a host cut off", "daemon/logio", 4096 * 2000, relayed, logBytes, percent(relayed / relayBatch * relayCPU / 2), false},
		{"publisher of snapshots", "daemon/node", 0, 0, min(z.Requests*3600, horizon) * s.SnapBytes.Last() / snapSeconds(z), percent(min(z.Requests*3600, horizon) * s.SnapCost.Last() / snapSeconds(z)), false},
		{"view and heartbeats", "daemon/peer, fold/view", float64(z.Hosts) * s.MemberBytes.Last(), pingsPerSecond * inRegion, pingsPerSecond * inRegion * pingBytes, percent(pingsPerSecond * inRegion * pingCPU / 2), false},
		{"configuration", "fold/config", configSize * 4, config, config * configSize, percent(config * s.PublishCost.Last() * float64(z.Orgs)), false},
		{"watcher of targets", "daemon/target", float64(z.Targets) * 600, loadsPerSecond * float64(z.Targets), loadsPerSecond * float64(z.Targets) * loadBytes, percent(loadsPerSecond * float64(z.Targets) * loadCPU / 2), false},
	}
}

// appends is the number of batches per second that all hosts append.
func appends(z Size) float64 {
	return min(float64(z.Hosts)/appendInterval, float64(z.Hosts)*(z.Requests/float64(z.Hosts)+settlesPerSecond))
}

func snapSeconds(z Size) float64 { return 20000 / min(appends(z), LimitAppends) }

func horizonSeconds(z Size) float64 { return horizon / max(z.Requests, 1) }

// Planned returns the roles of a host with mechanisms that are not built yet: ownership
// groups of eight hosts, spread over the failure domains of a region, with a stream of facts
// for each group; budgets in streams read only by the hosts that draw on them; packed bills;
// configuration changes sent as differences; and targets divided among the hosts of a group.
func Planned(z Size, s Slopes) []Role {
	groups := float64(z.Hosts) / groupHosts
	perHost := z.Requests / float64(z.Hosts)
	perGroup := z.Requests / groups
	once := perGroup * z.OnceShare
	pingBytes, pingCPU := s.call("heartbeat")
	claimBytes, claimCPU := s.call("claim")
	loadBytes, loadCPU := s.call("load report of a target")
	_, relayCPU := s.call("relay of 100 batches of the log")
	pairs := float64(z.Budgets) * float64(z.Regions) / groups // of a budget and a group
	takes := pairs / plannedTakeSeconds
	views := (2*z.Deaths + 3*z.Replacements) / day / groups
	config := z.Changes / day
	const change = 400.0 // bytes of one changed section with its envelope
	factBytes := perGroup*packedBill + once*packedBill
	return []Role{
		{"entry", "daemon/entry", 0, perHost, 0, percent(perHost * s.Replicas.Costs[0]), true},
		{"owner of request ids", "daemon/claim, by group", once * 600 * 100, perHost * z.OnceShare * 3, perHost * z.OnceShare * 3 * claimBytes * 2, percent(perHost * z.OnceShare * 3 * claimCPU), true},
		{"holder of unlogged facts", "not built: bills go in one batch of the group each 0.5 s", perHost * 2 * 2 * 50, 4, perHost * 2 * packedBill, percent(4 * claimCPU), true},
		{"budget slices of the group", "not built: slices for a group, shared by borrowing (daemon/ledger)", pairs * s.HoldBytes.Last(), takes * 2, takes * 2 * (s.Record["take"] + s.Record["settle"]) * float64(z.Regions), percent(takes * 14 * s.FoldTake.Last()), false},
		{"facts in the fold", "not built: a stream of facts for each group", min(perGroup*3600, horizon) * s.FactBytes.Last(), perGroup + once, factBytes, percent((perGroup + once) * s.FoldBill.Last()), false},
		{"relay of the log", "daemon/logio; not built: one reader in each group", 4096 * 2000, 2 * (groupHosts - 1), 0, percent(2 * (groupHosts - 1) / relayBatch * relayCPU / 2), false},
		{"publisher of snapshots", "daemon/node, by group", 0, 0, min(perGroup*3600, horizon) * s.SnapBytes.Last() / 3600 / groupHosts, percent(min(perGroup*3600, horizon) * s.SnapCost.Last() / 3600 / groupHosts), false},
		{"view and heartbeats", "daemon/peer, by group", float64(z.Hosts) * s.MemberBytes.Last(), groupHosts - 1, (groupHosts - 1) * pingBytes / 2, percent((groupHosts - 1) * pingCPU / 4), false},
		{"view changes", "fold/view, by group", 0, views * groupHosts, views * groupHosts * s.Record["flushed"], 0, false},
		{"configuration", "not built: publish of differences", s.PublishSize.Last() * float64(z.Budgets) * 2, config, config * change, percent(config * 50e3), false},
		{"watcher of targets", "not built: each target asked by one host of a group", float64(z.Targets) / float64(z.Regions) * 600, float64(z.Targets) / float64(z.Hosts) * plannedLoads, float64(z.Targets) / float64(z.Hosts) * plannedLoads * loadBytes, percent(float64(z.Targets) / float64(z.Hosts) * plannedLoads * loadCPU / 2), false},
	}
}

// Sum adds up the roles of serving requests if path is true, else those of control.
func Sum(roles []Role, path bool) Role {
	t := Role{Name: "sum of control"}
	if path {
		t.Name = "sum of what requests cost"
	}
	for _, r := range roles {
		if r.Path != path {
			continue
		}
		t.State += r.State
		t.Messages += r.Messages
		t.Bytes += r.Bytes
		t.CPU += r.CPU
	}
	return t
}
