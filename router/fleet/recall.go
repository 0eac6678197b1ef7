package fleet

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
)

// Figures of recalls.
const (
	recallQueue   = 1024 // loans waiting to be recalled; beyond it they count as spent
	recallEvery   = 100 * time.Millisecond
	recallTimeout = 200 * time.Millisecond
	recallTries   = 150 // with the pauses, longer than hosts are usually cut off
)

// recaller takes back loans whose answers did not come, so that what was lent is not
// lost. The borrower has given these loans up: it never uses them.
type recaller struct {
	calls  *client
	prefix string // of loan ids, unique for each start of a host
	last   atomic.Int64
	queue  chan unanswered
}

// unanswered is a loan without an answer.
type unanswered struct {
	address string // of the lender
	id      string
	tries   int
}

func newRecaller(calls *client, prefix string) *recaller {
	return &recaller{calls: calls, prefix: prefix + "/", queue: make(chan unanswered, recallQueue)}
}

// newLoan gives an id for a loan that is about to be asked for.
func (r *recaller) newLoan() string { return r.prefix + strconv.FormatInt(r.last.Add(1), 36) }

// add recalls a loan soon; it never blocks.
func (r *recaller) add(loan unanswered) {
	select {
	case r.queue <- loan:
	default:
		log.WithFields(log.Fields{"peer": loan.address, "loan": loan.id}).Warn("loan not recalled: too many wait")
	}
}

// run recalls loans until ctx ends.
func (r *recaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		var waiting []unanswered
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			waiting = r.drain([]unanswered{first})
		}
		for _, loan := range r.recall(ctx, waiting) {
			loan.tries++
			if loan.tries < recallTries {
				r.add(loan)
			}
		}
		wait.For(ctx, recallEvery)
	}
}

// drain adds what else waits.
func (r *recaller) drain(list []unanswered) []unanswered {
	for {
		select {
		case loan := <-r.queue:
			list = append(list, loan)
		default:
			return list
		}
	}
}

// recall makes a call to each lender and gives the loans whose lender did not answer.
func (r *recaller) recall(ctx context.Context, waiting []unanswered) (failed []unanswered) {
	byLender := map[string][]unanswered{}
	for _, loan := range waiting {
		byLender[loan.address] = append(byLender[loan.address], loan)
	}
	for address, loans := range byLender {
		var ask recallRequest
		for _, loan := range loans {
			ask.Loans = append(ask.Loans, loan.id)
		}
		var got recallResponse
		call, cancel := context.WithTimeout(ctx, recallTimeout)
		err := r.calls.do(call, address, pathRecall, ask, &got)
		cancel()
		log.WithFields(log.Fields{"peer": address, "loans": len(loans), "tokens": got.Tokens, "answered": err == nil}).Debug("loans recalled")
		if err != nil {
			failed = append(failed, loans...)
		}
	}
	return failed
}
