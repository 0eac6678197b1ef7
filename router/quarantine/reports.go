package quarantine

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
)

// Timing of reports.
const (
	// reportBatchDelay batches the requests that one exit interrupted into one call per counting host.
	reportBatchDelay = 5 * time.Millisecond
	reportTimeout    = 500 * time.Millisecond
)

// Run sends reports to the counting hosts until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.reports:
			wait.For(ctx, reportBatchDelay)
			g.send(ctx, g.gather(r))
		}
	}
}

// gather collects the waiting reports by counting host.
func (g *Guard) gather(r Report) map[string][]Report {
	byHost := map[string][]Report{}
	for {
		others, _ := g.peers.CountingHosts(r.Kind, r.Digest)
		for _, address := range others {
			byHost[address] = append(byHost[address], r)
		}
		select {
		case r = <-g.reports:
		default:
			return byHost
		}
	}
}

func (g *Guard) send(ctx context.Context, byHost map[string][]Report) {
	for address, reports := range byHost {
		g.opts.Go("quarantine report", func() {
			call, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			outcome := "ok"
			if err := g.peers.Report(call, address, reports); err != nil {
				outcome = "failed"
				log.WithFields(log.Fields{"peer": address, "reports": len(reports)}).WithError(err).Info("reporting target exits to a counting host failed")
			}
			g.opts.Count(`quarantine_reports_total{outcome="` + outcome + `"}`)
		})
	}
}
