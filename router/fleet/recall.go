package fleet

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
)

// Bounds on recalls.
const (
	recallQueueSize   = 1024 // loans; beyond it loans are not recalled and count as spent
	recallInterval    = 100 * time.Millisecond
	recallTimeout     = 200 * time.Millisecond
	maxRecallAttempts = 150 // with the intervals, longer than hosts are usually cut off
)

// recaller takes back loans whose responses did not arrive, so that the lent tokens are not
// lost. The borrower never uses such a loan.
type recaller struct {
	client   *client
	idPrefix string // unique to this incarnation of the host
	lastID   atomic.Int64
	queue    chan pendingRecall
}

// pendingRecall is a loan without a response.
type pendingRecall struct {
	address  string // of the lender
	id       string
	attempts int
}

func newRecaller(calls *client, prefix string) *recaller {
	return &recaller{client: calls, idPrefix: prefix + "/", queue: make(chan pendingRecall, recallQueueSize)}
}

// newLoanID returns the id for a new loan request.
func (r *recaller) newLoanID() string { return r.idPrefix + strconv.FormatInt(r.lastID.Add(1), 36) }

// add queues a loan for recall; it never blocks.
func (r *recaller) add(loan pendingRecall) {
	select {
	case r.queue <- loan:
	default:
		log.WithFields(log.Fields{"peer": loan.address, "loan": loan.id}).Warn("loan not recalled: the recall queue is full")
	}
}

// run recalls loans until ctx ends.
func (r *recaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		var waiting []pendingRecall
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			waiting = r.drainQueue([]pendingRecall{first})
		}
		for _, loan := range r.recall(ctx, waiting) {
			loan.attempts++
			if loan.attempts < maxRecallAttempts {
				r.add(loan)
			}
		}
		wait.For(ctx, recallInterval)
	}
}

// drainQueue appends the queued loans to list.
func (r *recaller) drainQueue(list []pendingRecall) []pendingRecall {
	for {
		select {
		case loan := <-r.queue:
			list = append(list, loan)
		default:
			return list
		}
	}
}

// recall makes one call to each lender and returns the loans whose lender did not respond.
func (r *recaller) recall(ctx context.Context, waiting []pendingRecall) (failed []pendingRecall) {
	byLender := map[string][]pendingRecall{}
	for _, loan := range waiting {
		byLender[loan.address] = append(byLender[loan.address], loan)
	}
	for address, loans := range byLender {
		var request recallRequest
		for _, loan := range loans {
			request.Loans = append(request.Loans, loan.id)
		}
		var response recallResponse
		call, cancel := context.WithTimeout(ctx, recallTimeout)
		err := r.client.callWithTimeout(call, address, pathRecall, request, &response)
		cancel()
		log.WithFields(log.Fields{"peer": address, "loans": len(loans), "tokens": response.Tokens, "answered": err == nil}).Debug("recall of unanswered loans sent")
		if err != nil {
			failed = append(failed, loans...)
		}
	}
	return failed
}
