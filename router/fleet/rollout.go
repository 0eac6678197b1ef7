package fleet

import (
	"context"
	"net/http"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/rollout"
)

// pathRollout is the path of reports about a rollout.
const pathRollout = "/fleet/rollout"

// maxCoordinators is how many hosts may coordinate a rollout: one may be down and one cut off.
const maxCoordinators = 3

// Rollouts coordinates rollouts for other hosts.
type Rollouts interface {
	// Coordinate handles a report and returns advice.
	Coordinate(r rollout.Report) rollout.Advice
}

// ReportRollout reports what this host saw of a rollout to the host that coordinates it and returns its
// advice. All hosts try the same few hosts in the same order, and go on to the next if one is
// silent or cannot reach the log. ok is false if none responded.
func (f *Fleet) ReportRollout(ctx context.Context, r rollout.Report) (advice rollout.Advice, ok bool) {
	for _, address := range f.coordinators(r.Service) {
		got, err := f.reportTo(ctx, address, r)
		if err != nil {
			continue
		}
		if !ok || got.LogReachable {
			advice, ok = got, true
		}
		if got.LogReachable {
			break
		}
	}
	return advice, ok
}

func (f *Fleet) reportTo(ctx context.Context, address string, r rollout.Report) (advice rollout.Advice, err error) {
	if address == f.opts.Self.Address {
		return f.advise(r), nil
	}
	err = f.client.callWithTimeout(ctx, address, pathRollout, r, &advice)
	f.recordCallResult(address, err)
	return advice, err
}

// coordinators lists the addresses of the hosts that may coordinate the rollout of a service, recently
// silent ones last.
func (f *Fleet) coordinators(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.opts.Self
	names := append([]string{self.Name}, f.activePeers()...)
	ranked := rendezvous.Rank(rolloutDuty(service), names, func(name string) string { return name })
	addresses := make([]string, 0, maxCoordinators)
	for _, name := range ranked[:min(len(ranked), maxCoordinators)] {
		if name == self.Name {
			addresses = append(addresses, self.Address)
			continue
		}
		addresses = append(addresses, f.hosts[name].host.Address)
	}
	return f.silentLast(addresses)
}

// IsPrimaryForRollout reports whether this host is the first choice to coordinate the rollout of a
// service.
func (f *Fleet) IsPrimaryForRollout(service string) bool { return f.IsPrimary(rolloutDuty(service)) }

func rolloutDuty(service string) string { return "rollout/" + service }

func (f *Fleet) serveRollout(w http.ResponseWriter, r *http.Request) {
	var report rollout.Report
	if !readJSON(w, r, &report) {
		return
	}
	writeJSON(w, f.advise(report))
}

// advise returns this host's advice on a report.
func (f *Fleet) advise(r rollout.Report) rollout.Advice {
	if f.opts.Rollouts == nil {
		return rollout.Advice{Phase: rollout.PhaseHeld}
	}
	return f.opts.Rollouts.Coordinate(r)
}
