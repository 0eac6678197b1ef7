package fleet

import (
	"time"

	"maststage.dev/router/keeper"
)

// settlePeriod is how long a starting host takes no bounded duty: until then others may not have
// read its announcement, nor it theirs, and two hosts unaware of each other would both take the
// same duty. It is twice the interval between two reads of the hosts' topic.
const settlePeriod = 6 * time.Second

// dutyLease is how long a host may hold a duty after its last announcement, since others drop it
// after peerExpiry and then replace it. It also bounds the time after the host's last read of
// announcements, since a host that reads none drops the others and would take their duties.
const dutyLease = peerExpiry - 2*settlePeriod

// Elected reports whether this host is one of up to count hosts that share a duty, and how
// many they are. Hosts that know of the same hosts agree.
func (f *Fleet) Elected(duty string, count int) (hosts int, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.activePeers()
	hosts = min(count, len(others)+1)
	if time.Since(f.settlingSince) < settlePeriod || time.Since(f.lastAnnounced) > dutyLease || time.Since(f.lastRead) > dutyLease {
		return hosts, false
	}
	return hosts, keeper.IsKeeper(duty, f.opts.Self.Name, others, hosts)
}

// Resumed handles a suspension of this host that its clock did not show: others may have
// dropped it and taken over its duties. It holds no duties until it has announced itself and
// settled again.
func (f *Fleet) Resumed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settlingSince = time.Now()
	f.lastAnnounced = time.Time{}
	f.requestAnnouncement()
}

// PulledSince reports whether a pull that started after t has succeeded.
func (f *Fleet) PulledSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastPull.After(t)
}

func (f *Fleet) recordPull(asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPull = asked
}
