// Package account puts together where the tokens of prepaid budgets are, from the lines
// that router hosts write about their parts ("budget held").
//
// For each organisation, at any time and to the token:
//
//	granted = used + reserved + keepers + others + on the way + died + untold
package account

import (
	"cmp"
	"slices"
	"time"
)

// Entry is what one incarnation of a host told of its part of one budget. Flows are sums
// since its start.
type Entry struct {
	At           time.Duration // since midnight; later days add up
	Host         string
	Incarnation  string
	Organisation string
	Keeper       bool

	Free, Reserved         int64
	Granted, Limit, Offset int64 // the account as the host last saw it

	Taken, Returned, Borrowed, Lent, Recalled, Given, Received, Used int64
}

// Sum is where the tokens of one budget are at a time.
type Sum struct {
	At           time.Duration `json:"at_ns"`
	Organisation string        `json:"organisation"`
	Limit        int64         `json:"limit"`
	Granted      int64         `json:"granted"`  // to all hosts, by the newest record seen
	Used         int64         `json:"used"`     // by requests that ended
	Reserved     int64         `json:"reserved"` // by requests under way
	Keepers      int64         `json:"keepers"`  // free at hosts that hold them for all
	Others       int64         `json:"others"`   // free at other hosts
	OnTheWay     int64         `json:"on_the_way"`
	Died         int64         `json:"died"` // free or reserved at hosts that ended
	// Untold is what was taken of the budget by nobody that told of it: appends whose fate
	// is not known yet, and what a host did between its last line and its end.
	Untold int64 `json:"untold"`
}

// Parts gives the parts of what is granted, with their names.
func (s Sum) Parts() []Part {
	return []Part{
		{"used", s.Used}, {"reserved", s.Reserved}, {"keepers", s.Keepers}, {"others", s.Others},
		{"on the way", s.OnTheWay}, {"died", s.Died}, {"untold", s.Untold},
	}
}

// Part is a named part of what is granted.
type Part struct {
	Name   string
	Tokens int64
}

// Book holds what was told, in order of time.
type Book struct{ entries []Entry }

// Add takes in entries.
func (b *Book) Add(entries ...Entry) { b.entries = append(b.entries, entries...) }

// sort orders the entries by time.
func (b *Book) sort() {
	slices.SortStableFunc(b.entries, func(x, y Entry) int { return cmp.Compare(x.At, y.At) })
}

// incarnation names one of an organisation's holders.
type incarnation struct{ host, id string }

// budget is what is known of one budget at a time.
type budget struct {
	newest Entry // with the highest offset
	last   map[incarnation]Entry
	living map[string]string // incarnation of each host that told last
}

// Series gives the sums at each step from the first line to the last, ordered by time and
// organisation. silent is how long a host may tell nothing before it counts as ended; 0: until a
// later incarnation of it tells. Hosts tell of what changed only, so it should be long.
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
		take(budgets, e)
		heard[incarnation{e.Host, e.Incarnation}] = e.At
	}
	return append(all, sums(budgets, heard, b.entries[len(b.entries)-1].At, silent)...)
}

// take takes in one entry.
func take(budgets map[string]*budget, e Entry) {
	k := budgets[e.Organisation]
	if k == nil {
		k = &budget{last: map[incarnation]Entry{}, living: map[string]string{}}
		budgets[e.Organisation] = k
	}
	if len(k.last) == 0 || e.Offset >= k.newest.Offset {
		k.newest = e
	}
	k.last[incarnation{e.Host, e.Incarnation}] = e
	k.living[e.Host] = e.Incarnation
}

// sums gives the sums of all budgets at a time.
func sums(budgets map[string]*budget, heard map[incarnation]time.Duration, at, silent time.Duration) []Sum {
	// A host's later incarnation may have told of other budgets only.
	living := map[string]incarnation{}
	for who, when := range heard {
		if last, known := living[who.host]; !known || heard[last] < when {
			living[who.host] = who
		}
	}
	var list []Sum
	for organisation, k := range budgets {
		s := Sum{At: at, Organisation: organisation, Limit: k.newest.Limit, Granted: k.newest.Granted, Untold: k.newest.Granted}
		for who, e := range k.last {
			s.add(e, living[who.host] != who || silent > 0 && at-heard[who] > silent)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y Sum) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return list
}

// add takes in what an incarnation told last.
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

// Total sums the newest sums of a series over all budgets.
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
		total.Untold += s.Untold
	}
	total.Organisation = "all"
	return total
}

// Newest gives the last sums of a series, those of its last time.
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
