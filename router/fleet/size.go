package fleet

import "time"

// joinQuietPeriod is how long no host must have joined for a new fleet to count as complete.
const joinQuietPeriod = 5 * time.Second

// countsAllHosts reports whether Size counts nearly all hosts, or has done so before. A host learns of those of an older fleet as it first reads
// the announcements, and of those of a new one as they join.
func (f *Fleet) countsAllHosts() bool {
	if !f.hostsLoaded() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.topicRead && f.initialEnd > int64(minAnnouncementsPerHost*len(f.hosts)) ||
		time.Since(f.createdAt) > settlePeriod && time.Since(f.lastJoined) > joinQuietPeriod {
		f.sizeKnown = true
	}
	return f.sizeKnown
}

// peakTime is how long PeakSize remembers a size: longer than outages of the log last, in which a host forgets the others.
const peakTime = 5 * time.Minute

// PeakSize is the largest size that the fleet had of late. Pauses that keep all hosts together from overloading the log
// go by it.
func (f *Fleet) PeakSize() int {
	size, now := f.Size(), time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if size >= f.peak || now.Sub(f.peakAt) > peakTime {
		f.peak, f.peakAt = size, now
	}
	return f.peak
}

// SizeKnown reports whether Size can be relied on. Until then the fleet may be a large one.
func (f *Fleet) SizeKnown() bool {
	return f.readers.current() == direct || f.countsAllHosts()
}

// hostsLoaded reports whether the announcements were read.
func (f *Fleet) hostsLoaded() bool {
	c := f.opts.Replicas[f.opts.Topic]
	return c == nil || c.Loaded()
}
