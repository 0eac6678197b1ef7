package observe

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"maststage.dev/router/target"
)

// maxLimitGauges bounds the number of targets whose limits are exported, and so the size of the output.
const maxLimitGauges = 1000

// RegisterLimits exports gauges for the targets that advertise a rate limit; f is called at each scrape.
func (o *Observer) RegisterLimits(f func() []target.LimitStatus) { o.limits = f }

func (o *Observer) writeLimits(w io.Writer) {
	if o.limits == nil {
		return
	}
	list := o.limits()
	metrics.WriteGaugeUint64(w, "maststage_targets_limited", uint64(len(list)))
	slices.SortFunc(list, func(a, b target.LimitStatus) int { return strings.Compare(a.Target, b.Target) })
	for _, l := range list[:min(len(list), maxLimitGauges)] {
		label := fmt.Sprintf("{target=%q,service=%q}", l.Target, l.Service)
		metrics.WriteGaugeFloat64(w, "maststage_target_limit_per_second"+label, l.PerSecond)
		metrics.WriteGaugeFloat64(w, "maststage_target_limit_share_per_second"+label, l.Share)
		metrics.WriteGaugeUint64(w, "maststage_target_limit_sent"+label, l.Sent)
		metrics.WriteGaugeFloat64(w, "maststage_target_limit_age_seconds"+label, time.Since(l.Since).Seconds())
	}
}
