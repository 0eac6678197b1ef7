package soak

import "time"

// worldOptions are what differs between clusters.
type worldOptions struct {
	thinHosts  bool          // some hosts have a slow link in their settings
	ownDialIPs bool          // hosts connect to targets from addresses of their own, so that they can be cut off from them
	cutOff     int           // number of hosts, the last ones, that can't connect to targets themselves
	engines    int           // number of engine targets; 0: the usual number
	processes  bool          // targets are processes: processTargets of each service
	plains     int           // number of plain targets; 0: the usual number
	retries    float64       // per request, in the hosts' settings; 0: the usual number
	resets     bool          // targets' resets reach the hosts as such
	versions   []string      // software versions of the engine targets, evenly divided; nil: one
	maxConns   int           // connections that each target takes from all hosts together; 0: the usual number
	downTime   time.Duration // of engine targets that crashed; the usual one if shorter
	unframed   bool          // responses of engine targets have neither a length nor chunks
	mixed      bool          // responses of every third target have neither, for callers that are judged at their sockets
	gap        time.Duration // between the events of streams that are taken up; 0: the usual one
	services   []string      // further services with engines, whose targets the test starts
	brittle    int           // number of plain targets with few places, which fall over while they are brittle; 0: usual ones
}
