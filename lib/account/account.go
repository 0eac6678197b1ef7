// Package account computes where the tokens of prepaid budgets are, from the log lines
// in which router hosts report what they hold ("budget held").
//
// For each organisation and at any time this holds exactly:
//
//	granted = used + reserved + keepers + others + on the way + died + written off + untold
package account

import (
	"cmp"
	"slices"
	"time"
)

// Entry is one report of an incarnation of a host about what it holds of one budget.
// Taken to Used are totals since the incarnation started.
type Entry struct {
	At           time.Duration // since midnight of the first day
	Host         string
	Incarnation  string
	Organisation string
	Keeper       bool

	Free, Reserved int64
	// The account as the host last saw it. An offset names a record of the log within one era.
	Granted, Limit, Era, Offset, WrittenOff int64

	Taken, Returned, Borrowed, Lent, Recalled, Given, Received, Used int64
}

// Sum is where the tokens of one budget are at a time.
type Sum struct {
	At           time.Duration `json:"at_ns"`
	Organisation string        `json:"organisation"`
	Limit        int64         `json:"limit"`
	Granted      int64         `json:"granted"`  // to all hosts, by the newest record seen
	Used         int64         `json:"used"`     // by finished requests
	Reserved     int64         `json:"reserved"` // by requests in flight
	Keepers      int64         `json:"keepers"`  // free at keepers, the hosts that lend to the others
	Others       int64         `json:"others"`   // free at other hosts
	OnTheWay     int64         `json:"on_the_way"`
	Died         int64         `json:"died"` // free or reserved at hosts that exited
	// WrittenOff is what no host has reported and hosts count as granted, since dead ones may have taken it and the log
	// may have lost that.
	WrittenOff int64 `json:"written_off"`
	// Untold is what else no host has reported: appends whose outcome isn't known yet, and
	// what a host did between its last line and its exit.
	Untold int64 `json:"untold"`
}

// Parts returns the parts that add up to Granted.
func (s Sum) Parts() []Part {
	return []Part{
		{"used", s.Used}, {"reserved", s.Reserved}, {"keepers", s.Keepers}, {"others", s.Others},
		{"on the way", s.OnTheWay}, {"died", s.Died}, {WrittenOffPart, s.WrittenOff}, {"untold", s.Untold},
	}
}

// WrittenOffPart is the name of the part that hosts wrote off.
const WrittenOffPart = "written off"

// Part is a named part of Granted.
type Part struct {
	Name   string
	Tokens int64
}

// Book collects entries.
type Book struct{ entries []Entry }

// Add adds entries, in any order.
func (b *Book) Add(entries ...Entry) { b.entries = append(b.entries, entries...) }

// sort orders the entries by time.
func (b *Book) sort() {
	slices.SortStableFunc(b.entries, func(x, y Entry) int { return cmp.Compare(x.At, y.At) })
}

// incarnation identifies one run of a host.
type incarnation struct{ host, id string }

// budget is what is known of one budget at one time.
type budget struct {
	newest  Entry // the entry with the highest offset of the newest era
	last    map[incarnation]Entry
	current map[string]string // the incarnation of each host that reported last
}

// Series returns the sums at each step from the first entry to the last, ordered by time and
// organisation; step 0 gives those at the last entry only. An incarnation counts as exited once a
// later one of its host reports or, unless silent is 0, once it has reported nothing for longer
// than silent. Hosts report changes only, so silent should be long.
func (b *Book) Series(step, silent time.Duration) []Sum {
	if len(b.entries) == 0 {
		return nil
	}
	b.sort()
	var all []Sum
	budgets := map[string]*budget{}
	heard := map[incarnation]time.Duration{}
	next := b.entries[0].At + step
	for _, e := range b.entries {
		for step > 0 && e.At >= next {
			all = append(all, sums(budgets, heard, next, silent)...)
			next += step
		}
		record(budgets, e)
		heard[incarnation{e.Host, e.Incarnation}] = e.At
	}
	return append(all, sums(budgets, heard, b.entries[len(b.entries)-1].At, silent)...)
}

// record adds one entry to what is known.
func record(budgets map[string]*budget, e Entry) {
	k := budgets[e.Organisation]
	if k == nil {
		k = &budget{last: map[incarnation]Entry{}, current: map[string]string{}}
		budgets[e.Organisation] = k
	}
	if len(k.last) == 0 || e.Era > k.newest.Era || e.Era == k.newest.Era && e.Offset >= k.newest.Offset {
		k.newest = e
	}
	k.last[incarnation{e.Host, e.Incarnation}] = e
	k.current[e.Host] = e.Incarnation
}

// sums returns the sums of all budgets at one time.
func sums(budgets map[string]*budget, heard map[incarnation]time.Duration, at, silent time.Duration) []Sum {
	// A later incarnation of a host may have reported other budgets only.
	current := map[string]incarnation{}
	for who, when := range heard {
		if last, known := current[who.host]; !known || heard[last] < when {
			current[who.host] = who
		}
	}
	var list []Sum
	for organisation, k := range budgets {
		s := Sum{At: at, Organisation: organisation, Limit: k.newest.Limit, Granted: k.newest.Granted, Untold: k.newest.Granted}
		for who, e := range k.last {
			s.add(e, current[who.host] != who || silent > 0 && at-heard[who] > silent)
		}
		s.WrittenOff = max(min(k.newest.WrittenOff, s.Untold), 0)
		s.Untold -= s.WrittenOff
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y Sum) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return list
}

// add adds the last entry of an incarnation.
func (s *Sum) add(e Entry, ended bool) {
	s.Used += e.Used
	s.OnTheWay += e.Lent - e.Recalled - e.Borrowed + e.Given - e.Received
	s.Untold -= e.Taken - e.Returned
	switch {
	case ended:
		s.Died += e.Free + e.Reserved
	case e.Keeper:
		s.Reserved += e.Reserved
		s.Keepers += e.Free
	default:
		s.Reserved += e.Reserved
		s.Others += e.Free
	}
}

// Total adds up the newest sums of a series over all budgets.
func Total(series []Sum) Sum {
	var total Sum
	for _, s := range Newest(series) {
		total.At = max(total.At, s.At)
		total.Limit += s.Limit
		total.Granted += s.Granted
		total.Used += s.Used
		total.Reserved += s.Reserved
		total.Keepers += s.Keepers
		total.Others += s.Others
		total.OnTheWay += s.OnTheWay
		total.Died += s.Died
		total.WrittenOff += s.WrittenOff
		total.Untold += s.Untold
	}
	total.Organisation = "all"
	return total
}

// Newest returns the sums of a series that have its last time.
func Newest(series []Sum) []Sum {
	if len(series) == 0 {
		return nil
	}
	last := series[len(series)-1].At
	first := len(series)
	for first > 0 && series[first-1].At == last {
		first--
	}
	return series[first:]
}
