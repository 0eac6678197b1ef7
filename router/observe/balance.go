package observe

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"maststage.dev/router/target"
)

// maxBalanceGauges bounds the number of targets whose part in the work is exported, and so the size of the output.
const maxBalanceGauges = 1000

// RegisterBalance exports the speeds of targets and the prompt tokens that this host sent to each; f is called at each
// scrape.
func (o *Observer) RegisterBalance(f func() []target.BalanceStatus) { o.balance = f }

func (o *Observer) writeBalance(w io.Writer) {
	if o.balance == nil {
		return
	}
	list := o.balance()
	slices.SortFunc(list, func(a, b target.BalanceStatus) int { return strings.Compare(a.Target, b.Target) })
	for _, s := range list[:min(len(list), maxBalanceGauges)] {
		label := fmt.Sprintf("{target=%q,service=%q}", s.Target, s.Service)
		metrics.WriteGaugeFloat64(w, "maststage_target_speed"+label, s.Speed)
		metrics.WriteCounterFloat64(w, "maststage_target_prompt_tokens_total"+label, s.PromptTokens)
	}
}
