package fleet

import (
	"time"

	"maststage.dev/router/keeper"
)

// settleTime is how long a host takes no part in duties that are bounded over all hosts:
// until then others may not have read its announcement, nor it theirs, and two hosts that
// do not know each other would both take the same place. It is twice the pause between two
// reads of the hosts' topic.
const settleTime = 6 * time.Second

// lapseTime is how long a host takes part after its newest announcement, since others forget it
// after forgetAfter and then take its place, and after it last read an announcement, since it then
// forgets the others and would take theirs.
const lapseTime = forgetAfter - 2*settleTime

// Elected says whether this host is one of up to count hosts that share a duty, and how
// many they are. All hosts that know of the same hosts agree.
func (f *Fleet) Elected(duty string, count int) (hosts int, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.others()
	hosts = min(count, len(others)+1)
	if time.Since(f.started) < settleTime || time.Since(f.announced) > lapseTime || time.Since(f.changed) > lapseTime {
		return hosts, false
	}
	return hosts, keeper.IsKeeper(duty, f.opts.Self.Name, others, hosts)
}

// Resumed tells that this host was suspended, unnoticed by its clock: others may have
// forgotten it and taken its place. It takes no part in duties until it has announced itself and
// settled again.
func (f *Fleet) Resumed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = time.Now()
	f.announced = time.Time{}
	select {
	case f.announceNow <- struct{}{}:
	default:
	}
}

// PulledSince says whether another host has told this one how far it knows the topics, asked
// after a moment.
func (f *Fleet) PulledSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pulled.After(t)
}

func (f *Fleet) notePulled(asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pulled = asked
}
