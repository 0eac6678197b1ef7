// Package observe writes log lines and metrics about the outcome of requests and attempts.
package observe

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/forward"
	"maststage.dev/router/logging"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/target"
)

// Observer implements forward.Observer.
type Observer struct {
	set       *metrics.Set
	holdings  func() []prepaid.Holding
	limits    func() []target.LimitStatus
	balance   func() []target.BalanceStatus
	successes *logging.Limiter
	failures  *logging.Limiter
}

// successShare is the share of the line rate that successful requests get.
const successShare = 0.25

// New returns an Observer that logs at most the given number of lines a second.
func New(lines float64) *Observer {
	return &Observer{
		set:       metrics.NewSet(),
		successes: logging.NewLimiter(lines * successShare),
		failures:  logging.NewLimiter(lines * (1 - successShare)),
	}
}

// newEntry returns a log entry if l permits another line. The entry carries the number of lines
// skipped before it.
func newEntry(l *logging.Limiter) (*log.Entry, bool) {
	ok, skipped := l.Allow(time.Now())
	if !ok {
		return nil, false
	}
	entry := log.NewEntry(log.StandardLogger())
	if skipped > 0 {
		entry = entry.WithField("skipped", skipped)
	}
	return entry, true
}

// AttemptEnded counts an attempt and logs it if it failed.
func (o *Observer) AttemptEnded(t forward.Attempt) {
	o.set.GetOrCreateCounter(fmt.Sprintf("maststage_tries_total{result=%q}", t.Result)).Inc()
	if t.Err == nil {
		return
	}
	entry, ok := newEntry(o.failures)
	if !ok {
		return
	}
	entry.WithFields(log.Fields{
		"request": t.RequestID, "try": t.Number, "target": t.Target, "domain": t.Domain, "version": t.Version, "result": t.Result,
		"status": t.Status, "via": t.Via, "behind": t.ResumedAfter, "took": t.Duration.Round(time.Millisecond),
	}).WithError(t.Err).Info("attempt failed")
}

// TargetExited logs and counts an attempt that failed because its target exited. The same digest
// in lines of several targets points to the request that may have caused the exits.
func (o *Observer) TargetExited(b forward.TargetExit) {
	o.Count(fmt.Sprintf("broken_by_ends_total{service=%q}", b.Service))
	entry, ok := newEntry(o.failures)
	if !ok {
		return
	}
	entry.WithFields(log.Fields{
		"request": b.RequestID, "digest": b.Digest, "target": b.Target, "service": b.Service,
		"organisation": b.Organisation, "parts": b.SharedParts, "events": b.Events, "took": b.Duration.Round(time.Millisecond), "ran": b.SinceFirstEvent.Round(time.Millisecond),
	}).Info("target exited during the attempt")
}

// RequestEnded logs a finished request and updates its metrics.
func (o *Observer) RequestEnded(e forward.Outcome) {
	labels := fmt.Sprintf("organisation=%q,service=%q", e.Organisation, e.Service)
	o.set.GetOrCreateHistogram("maststage_request_seconds{" + labels + "}").Update(e.Duration.Seconds())
	if e.FirstByte > 0 {
		o.set.GetOrCreateHistogram("maststage_first_byte_seconds{" + labels + "}").Update(e.FirstByte.Seconds())
	}
	o.set.GetOrCreateCounter(fmt.Sprintf("maststage_requests_total{%s,kind=%q}", labels, e.Kind)).Inc()
	o.Count(fmt.Sprintf("responses_total{end=%q,framing=%q,caller_closed=%q}", e.End, e.Framing, strconv.FormatBool(e.CallerClosed)))
	limiter := o.failures
	if e.Kind == forward.OK {
		limiter = o.successes
	}
	entry, ok := newEntry(limiter)
	if !ok {
		return
	}
	fields := log.Fields{
		"request": e.RequestID, "route": e.Route, "organisation": e.Organisation, "service": e.Service,
		"config": e.ConfigVersion, "kind": e.Kind, "status": e.Status, "tries": e.Attempts, "target": e.Target,
		"events": e.Events, "reserved": e.TokensReserved, "used": e.TokensUsed,
		"first": e.FirstByte.Round(time.Millisecond), "took": e.Duration.Round(time.Millisecond), "end": e.End,
	}
	if e.Framing != "" {
		fields["framing"] = e.Framing
	}
	if e.CallerClosed {
		fields["caller_closed"] = true
	}
	if e.Version != "" {
		fields["version"] = e.Version
	}
	if e.ResumedAfter != "" || e.Resumes != "" {
		fields["resumes"], fields["behind"] = e.Resumes, e.ResumedAfter
	}
	if e.Kind != forward.OK && e.Digest != (quarantine.Digest{}) {
		fields["digest"] = e.Digest
	}
	if e.QuarantinedAs != (quarantine.Digest{}) {
		fields["quarantined_as"] = e.QuarantinedAs
	}
	if e.Kind.RestsOnConfig() {
		fields["config_age"] = e.ConfigAge.Round(time.Millisecond)
	}
	addOriginFields(fields, e)
	addBudgetFields(fields, e.Kind, e.Budget)
	entry = entry.WithFields(fields)
	if e.Err != nil {
		entry = entry.WithError(e.Err)
	}
	entry.Info("request ended")
}

func addBudgetFields(fields log.Fields, kind forward.Kind, h prepaid.Holding) {
	if kind != forward.BudgetWait && kind != forward.OverBudget {
		return
	}
	fields["budget_free"], fields["budget_reserved"] = h.Free, h.Reserved
	fields["budget_granted"], fields["budget_limit"], fields["budget_offset"] = h.Granted, h.Limit, h.Offset
}

// Count increments the counter maststage_name.
func (o *Observer) Count(name string) { o.set.GetOrCreateCounter("maststage_" + name).Inc() }

// Add adds n to the counter maststage_name.
func (o *Observer) Add(name string, n int) { o.set.GetOrCreateCounter("maststage_" + name).Add(n) }

// RegisterGauge exports the gauge maststage_name; f is called at each scrape.
func (o *Observer) RegisterGauge(name string, f func() float64) { o.set.NewGauge("maststage_"+name, f) }

// RegisterHoldings exports gauges for this host's allocation of each budget; f is called at each
// scrape.
func (o *Observer) RegisterHoldings(f func() []prepaid.Holding) { o.holdings = f }

// maxBudgetGauges bounds the number of budgets that are exported, and so the size of the output.
const maxBudgetGauges = 1000

func (o *Observer) writeHoldings(w io.Writer) {
	if o.holdings == nil {
		return
	}
	list := o.holdings()
	slices.SortFunc(list, func(a, b prepaid.Holding) int { return strings.Compare(a.Organisation, b.Organisation) })
	for _, h := range list[:min(len(list), maxBudgetGauges)] {
		label := fmt.Sprintf("{organisation=%q}", h.Organisation)
		metrics.WriteGaugeUint64(w, "maststage_budget_free_tokens"+label, uint64(max(h.Free, 0)))
		metrics.WriteGaugeUint64(w, "maststage_budget_wanted_tokens"+label, uint64(max(h.Wanted, 0)))
		metrics.WriteGaugeUint64(w, "maststage_budget_reserved_tokens"+label, uint64(max(h.Reserved, 0)))
		metrics.WriteGaugeUint64(w, "maststage_budget_granted_tokens"+label, uint64(max(h.Granted, 0)))
		metrics.WriteGaugeUint64(w, "maststage_budget_limit_tokens"+label, uint64(max(h.Limit, 0)))
	}
}

// Handler serves the metrics in the Prometheus text format.
func (o *Observer) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		o.write(w)
	})
}

func (o *Observer) write(w io.Writer) {
	o.set.WritePrometheus(w)
	o.writeHoldings(w)
	o.writeLimits(w)
	o.writeBalance(w)
}
