package fleet

import (
	"context"
	"net/http"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/rollout"
)

// pathRollout is the call that tells what a host saw of a rollout.
const pathRollout = "/fleet/rollout"

// conductors is how many hosts may conduct a rollout: one may be gone and one cut off.
const conductors = 3

// Rollouts conducts rollouts for other hosts.
type Rollouts interface {
	// Conduct takes in a report and gives advice.
	Conduct(r rollout.Report) rollout.Advice
}

// ReportRollout tells what this host saw of a rollout to the host that conducts it and returns its
// advice. All hosts ask the same few in the same order, and go on to the next where one is silent
// or does not reach the log. ok is false if none answered.
func (f *Fleet) ReportRollout(ctx context.Context, r rollout.Report) (advice rollout.Advice, ok bool) {
	for _, address := range f.conductors(r.Service) {
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
		return f.conduct(r), nil
	}
	err = f.calls.do(ctx, address, pathRollout, r, &advice)
	f.noteSilent(address, err)
	return advice, err
}

// conductors lists the addresses of the hosts that may conduct the rollout of a service, those that
// did not answer a moment ago last.
func (f *Fleet) conductors(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.opts.Self
	names := append([]string{self.Name}, f.others()...)
	ranked := rendezvous.Rank(rolloutDuty(service), names, func(name string) string { return name })
	addresses := make([]string, 0, conductors)
	for _, name := range ranked[:min(len(ranked), conductors)] {
		if name == self.Name {
			addresses = append(addresses, self.Address)
			continue
		}
		addresses = append(addresses, f.hosts[name].host.Address)
	}
	return f.silentLast(addresses)
}

// IsPrimaryForRollout says whether this host is the first that may conduct the rollout of a service.
func (f *Fleet) IsPrimaryForRollout(service string) bool { return f.IsPrimary(rolloutDuty(service)) }

func rolloutDuty(service string) string { return "rollout/" + service }

func (f *Fleet) serveRollout(w http.ResponseWriter, r *http.Request) {
	var report rollout.Report
	if !read(w, r, &report) {
		return
	}
	write(w, f.conduct(report))
}

// conduct is this host's advice.
func (f *Fleet) conduct(r rollout.Report) rollout.Advice {
	if f.opts.Rollouts == nil {
		return rollout.Advice{Phase: rollout.PhaseHeld}
	}
	return f.opts.Rollouts.Conduct(r)
}
