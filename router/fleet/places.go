package fleet

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

const (
	readersGroup = "readers"
	// A member's text is its name, its address, the class of its link and, if it has one, its failure domain.
	minMemberFields = 3
	fastMember      = "fast"
	slowMember      = "slow"
)

// reader is a host that reads the log for others, as it describes itself in the group.
type reader struct {
	address, domain string
	fast            bool // its link is
}

// joins reports whether this host takes a place among the readers if there is one.
func (r *readers) joins() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fastLink() || !r.slowSince.IsZero() && time.Since(r.slowSince) > noReaderTime
}

// join joins the group and returns the pause until the next join.
func (r *readers) join(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, r.fleet.opts.CallTimeout)
	defer cancel()
	began := time.Now()
	assignment, err := r.groups.Join(call, eventlog.Membership{
		Group: readersGroup, Member: r.member(), Topic: r.fleet.opts.Topic, TTL: readerTTL, Generation: r.generation,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if time.Since(r.joined) > readerTTL {
			r.place = false // another host may have it by now
		}
		return wait.Jitter(joinRetryInterval)
	}
	dividing := assignment.Generation != r.generation
	r.joined, r.generation = began, assignment.Generation
	r.place = slices.ContainsFunc(assignment.Partitions, func(number int) bool { return number < maxReaders })
	if dividing {
		return wait.Jitter(joinRetryInterval)
	}
	return wait.Jitter(joinInterval)
}

// leave gives up the place of this host, which others get once it has not joined for a while.
func (r *readers) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place = false
}

func (r *readers) hasPlace() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place
}

// lookAtOwners reads who the readers are, unless that was done lately.
func (r *readers) lookAtOwners(ctx context.Context) error {
	if !r.lookDue() {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, r.fleet.opts.CallTimeout)
	defer cancel()
	began := time.Now()
	owners, err := r.groups.Owners(call, readersGroup)
	if err == nil {
		r.setOwners(owners, began)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looked, r.lookRequested, r.lookFailed = began, false, err != nil
	if len(r.others) == 0 && (err == nil || time.Since(r.fleet.createdAt) > announcementsDelay) {
		r.noReaders = true
	}
	r.signal()
	return err
}

// lookDue reports whether it is time for a look at who the readers are.
func (r *readers) lookDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := ownersInterval - checkInterval/2
	switch {
	case r.lookFailed:
		pause = ownersErrorDelay / 2
	case r.lookRequested || len(r.others) == 0:
		pause = ownersRetryDelay
	}
	return time.Since(r.looked) > pause
}

// member is how this host describes itself in the group.
func (r *readers) member() string {
	self := r.fleet.opts.Self
	speed := slowMember
	if r.fastLink() {
		speed = fastMember
	}
	return strings.Join([]string{self.Name, self.Address, speed, self.Domain}, " ")
}

// parseMember reads how a host described itself.
func parseMember(text string) (m reader, ok bool) {
	fields := strings.Fields(text)
	if len(fields) < minMemberFields {
		return reader{}, false
	}
	m = reader{address: fields[1], fast: fields[2] == fastMember}
	if len(fields) > minMemberFields {
		m.domain = fields[minMemberFields]
	}
	return m, true
}

// setOwners replaces the readers that this host knows.
func (r *readers) setOwners(owners []eventlog.Owner, at time.Time) {
	var others []reader
	fast := false
	for _, owner := range owners {
		m, ok := parseMember(owner.Member)
		if !ok || owner.Partition >= maxReaders || m.address == r.fleet.opts.Self.Address || slices.Contains(others, m) {
			continue
		}
		others = append(others, m)
		fast = fast || m.fast
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case fast:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = at
	}
	r.others = others
}

// ranked lists the readers' addresses in the order in which this host asks them: those with fast links first, then those
// in its failure domain, otherwise in an order that differs between hosts.
func (r *readers) ranked() []string {
	r.mu.Lock()
	others := slices.Clone(r.others)
	r.mu.Unlock()
	others = rendezvous.Rank(r.fleet.opts.Self.Name, others, func(other reader) string { return other.address })
	slices.SortStableFunc(others, func(a, b reader) int { return cmp.Compare(r.distance(a), r.distance(b)) })
	addresses := make([]string, 0, len(others))
	for _, other := range others {
		addresses = append(addresses, other.address)
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.silentLast(addresses)
}

// next returns the reader to ask next, "" if all known ones were tried.
func (r *readers) next(tried map[string]bool) string {
	for _, address := range r.ranked() {
		if !tried[address] {
			return address
		}
	}
	return ""
}

// distance ranks a reader by its link and its failure domain, the best first.
func (r *readers) distance(other reader) (rank int) {
	if !other.fast {
		rank += 2
	}
	if other.domain != r.fleet.opts.Self.Domain {
		rank++
	}
	return rank
}
