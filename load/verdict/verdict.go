// Package verdict compares the outcomes that callers saw with the records of the targets
// and the log. It shares no code with the fleet's accounting.
package verdict

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "maststage.dev/api/peer/v1"
	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/load/caller"
)

// Run is one run of a request in a target's own record.
type Run struct {
	RequestID string // ORGANISATION/ID
	Account   string // the budget
	Tokens    uint64
	Start     time.Time
}

// Runs reads the runs recorded by the targets at these addresses (IP:port).
func Runs(targets []string) ([]Run, error) {
	var all []Run
	for _, addr := range targets {
		res, err := http.Get("http://" + addr + "/ledger")
		if err != nil {
			return nil, fmt.Errorf("reading the record of %s: %w", addr, err)
		}
		var runs []Run
		err = json.NewDecoder(res.Body).Decode(&runs)
		_ = res.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("reading the record of %s: %w", addr, err)
		}
		all = append(all, runs...)
	}
	return all, nil
}

// Bill is the first bill of a request in the log.
type Bill struct {
	Budget string
	Tokens uint64
}

const readMax = 1000

// Bills reads the first bill of each request from the platform's log at an address (IP:port).
func Bills(ctx context.Context, log string) (map[string]Bill, error) {
	c := platformv1connect.NewLogClient(http.DefaultClient, "http://"+log)
	bills := map[string]Bill{}
	for from := uint64(1); ; {
		r, err := c.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{From: from, Max: readMax}))
		if err != nil {
			return nil, fmt.Errorf("reading the log: %w", err)
		}
		if len(r.Msg.Entries) == 0 {
			return bills, nil
		}
		for _, e := range r.Msg.Entries {
			from = e.Offset + 1
			b := &peerv1.Batch{}
			if err := proto.Unmarshal(e.Data, b); err != nil {
				return nil, fmt.Errorf("entry %d of the log: %w", e.Offset, err)
			}
			collect(bills, b)
		}
	}
}

func collect(bills map[string]Bill, b *peerv1.Batch) {
	for _, r := range b.Records {
		x := r.GetBill()
		if x == nil {
			continue
		}
		if _, ok := bills[x.Id]; !ok {
			bills[x.Id] = Bill{Budget: x.Budget, Tokens: x.Tokens}
		}
	}
}

// Case is one request, its outcome, and what is expected of it.
type Case struct {
	Outcome caller.Outcome
	FullID  string // ORGANISATION/ID
	Single  bool   // must not run twice
	Want    []byte // the expected response
	Account string // the budget that it draws on
	Need    uint64 // maximum number of tokens that it may take from its budget
}

// Count is the verdict: the number of requests by outcome and of violations by kind.
type Count struct {
	Requests, Whole, Refused, Unknown int
	Doubled                           int    // requests that must not run twice, but did
	Overspend                         uint64 // tokens used beyond their budget
	LostBills                         int    // whole responses without a bill
	WrongBills                        int    // whole responses whose bill differs from what was reported to the caller
	Partial                           int    // responses reported as whole that are truncated, another request's or wrong
	FalseNotRun                       int    // requests that ran, though reported as not run
	FalseRefusals                     int    // refused for the budget though enough was left
	Examples                          []string
}

// Violations is the number of violations, which must be 0. False refusals aren't counted: they are only measured.
func (c *Count) Violations() int {
	return c.Doubled + int(min(c.Overspend, 1<<30)) + c.LostBills + c.WrongBills + c.Partial + c.FalseNotRun
}

// String formats the verdict in one line. Its lostbills include WrongBills.
func (c *Count) String() string {
	return fmt.Sprintf("requests=%d whole=%d refused=%d unknown=%d doubled=%d overspend=%d lostbills=%d partial=%d falsenotrun=%d falserefusals=%d violations=%d",
		c.Requests, c.Whole, c.Refused, c.Unknown, c.Doubled, c.Overspend, c.LostBills+c.WrongBills, c.Partial, c.FalseNotRun, c.FalseRefusals, c.Violations())
}

const maxExamples = 10

func (c *Count) example(format string, args ...any) {
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// Judge compares the cases with the runs and bills. totals are the tokens of each budget.
func Judge(cases []Case, runs []Run, bills map[string]Bill, totals map[string]uint64) *Count {
	c := &Count{Requests: len(cases)}
	ran := map[string]int{}
	used := map[string]uint64{}
	for _, r := range runs {
		ran[r.RequestID]++
		used[r.Account] += r.Tokens
	}
	for account, n := range used {
		if n > totals[account] {
			c.Overspend += n - totals[account]
			c.example("budget %s: %d used of %d", account, n, totals[account])
		}
	}
	for _, k := range cases {
		c.judgeCase(k, ran[k.FullID], bills)
	}
	c.FalseRefusals = falseRefusals(cases, runs, totals)
	return c
}

// falseRefusals counts requests refused for the budget although the tokens used by
// all runs that had started by the time of the refusal left enough in the budget.
func falseRefusals(cases []Case, runs []Run, totals map[string]uint64) int {
	slices.SortFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
	refused := make([]Case, 0, len(cases))
	for _, k := range cases {
		if k.Outcome.Kind == budgetKind && !k.Outcome.Whole {
			refused = append(refused, k)
		}
	}
	at := func(k Case) time.Time { return k.Outcome.Start.Add(k.Outcome.Took) }
	slices.SortFunc(refused, func(a, b Case) int { return at(a).Compare(at(b)) })
	used := map[string]uint64{}
	n, i := 0, 0
	for _, k := range refused {
		for i < len(runs) && !runs[i].Start.After(at(k)) {
			used[runs[i].Account] += runs[i].Tokens
			i++
		}
		if used[k.Account]+k.Need <= totals[k.Account] {
			n++
		}
	}
	return n
}

// budgetKind is the fleet's kind of a refusal for the budget.
const budgetKind = "budget"

func (c *Count) judgeCase(k Case, ran int, bills map[string]Bill) {
	o := k.Outcome
	if k.Single && ran > 1 {
		c.Doubled++
		c.example("%s must not run twice, but ran %d times", k.FullID, ran)
	}
	switch {
	case o.Broken != "":
		c.Partial++
		c.example("%s: %s", k.FullID, o.Broken)
	case o.Whole:
		c.judgeWhole(k, bills)
	case o.Ran == "no":
		c.Refused++
		if ran > 0 {
			c.FalseNotRun++
			c.example("%s: reported as not run (%s), but ran %d times", k.FullID, o.Kind, ran)
		}
	default:
		c.Unknown++
	}
}

func (c *Count) judgeWhole(k Case, bills map[string]Bill) {
	c.Whole++
	if string(k.Outcome.Data) != string(k.Want) {
		c.Partial++
		c.example("%s: wrong response of %d bytes, want %d bytes", k.FullID, len(k.Outcome.Data), len(k.Want))
	}
	b, ok := bills[k.FullID]
	switch {
	case !ok:
		c.LostBills++
		c.example("%s: no bill", k.FullID)
	case b.Tokens != k.Outcome.Billed:
		c.WrongBills++
		c.example("%s: billed %d, but reported %d to the caller", k.FullID, b.Tokens, k.Outcome.Billed)
	}
}
