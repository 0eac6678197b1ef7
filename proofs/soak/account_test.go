package soak

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"maststage.dev/lib/account"
	"maststage.dev/platform"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/prepaid"
	"maststage.dev/standin/faultlink"
	"maststage.dev/standin/memlog"
)

// accountHosts is larger than a fleet in which each host takes its own allocations, so that keepers
// hold tokens and lend them.
const accountHosts = 12

// TestAccountBalances computes the account of tokens from the log lines of the hosts, some of which are
// cut off and killed, and compares it with the store and the targets.
func TestAccountBalances(t *testing.T) {
	w := newWorld(t, accountHosts, 7)
	w.trafficFor(1, 2*time.Second)
	heal := w.hosts[2].store.Inject(faultlink.Fault{DropUp: true})
	w.log.SetFault(w.hosts[3].name, memlog.Fault{Lose: true}) // its appends take effect, but it gets no response
	w.trafficFor(2, 2*time.Second)
	heal()
	w.log.SetFault(w.hosts[3].name, memlog.Fault{})
	w.trafficFor(3, settleTime)
	w.settle()
	before := w.settledAccount(largeTenant)
	for _, h := range w.hosts[4:7] {
		h.kill()
		h.start()
	}
	for _, h := range w.hosts[4:7] {
		h.waitListening(startTime)
	}
	w.trafficFor(4, settleTime)
	w.settle()
	after := w.settledAccount(largeTenant)
	t.Logf("before %+v", before)
	t.Logf("after %+v", after)
	for _, s := range []account.Sum{before, after} {
		if s.Untold != 0 || s.Reserved != 0 || s.OnTheWay != 0 {
			t.Errorf("tokens without a holder: %+v", s)
		}
	}
	if before.Died != 0 || after.Died == 0 {
		t.Errorf("tokens of dead hosts: %d before the kills, %d after them", before.Died, after.Died)
	}
	w.checkAccount(after)
}

// trafficFor sends requests for a time.
func (w *world) trafficFor(seed uint64, d time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	w.traffic(ctx, seed)
}

// settle waits until requests in flight are over and hosts have reported them. Tokens that stay unused
// for longer are returned to the log.
func (w *world) settle() { time.Sleep(time.Second) }

// settledAccount returns accountOf once no transfer between hosts is in flight, or after settleTime in
// any case: idle tokens are transferred to another host some seconds after the last request, and for
// some milliseconds only one of the two has reported them.
func (w *world) settledAccount(organisation string) account.Sum {
	w.t.Helper()
	s := w.accountOf(organisation)
	for end := time.Now().Add(settleTime); s.OnTheWay != 0 && time.Now().Before(end); s = w.accountOf(organisation) {
		time.Sleep(accountEvery)
	}
	return s
}

// accountOf returns where the tokens of an organisation are, according to the hosts' log lines.
func (w *world) accountOf(organisation string) account.Sum {
	w.t.Helper()
	var book account.Book
	for _, h := range w.hosts {
		file, err := os.Open(h.logFile())
		if err != nil {
			w.t.Fatal(err)
		}
		err = book.Read(h.name, file)
		_ = file.Close()
		if err != nil {
			w.t.Fatal(err)
		}
	}
	for _, s := range account.Newest(book.Series(0, 0)) {
		if s.Organisation == organisation {
			return s
		}
	}
	w.t.Fatal("no host reported the organisation " + organisation)
	return account.Sum{}
}

// checkAccount compares an account with the store's record and with the tokens that targets recorded.
func (w *world) checkAccount(s account.Sum) {
	record := prepaid.Account{}
	budgets := platform.Environment(w.hosts[0].store.Address(), 0).BudgetsTopic
	for number := range logPartitions {
		if rec, ok := w.log.Get(eventlog.Partition{Topic: budgets, Number: number}, s.Organisation); ok {
			decoded, err := prepaid.DecodeAccount(rec.Value)
			if err != nil {
				w.t.Fatal(err)
			}
			record = decoded
		}
	}
	if s.Granted != record.Granted {
		w.t.Errorf("hosts report %d granted tokens, the store has %d", s.Granted, record.Granted)
	}
	spent := int64(0)
	for _, list := range w.runs() {
		run := list[0]
		if run.Header.Get(platform.Headers.Organisation) == s.Organisation && strings.HasPrefix(run.URI, streamPath) {
			spent += tokensIn
			for _, r := range list {
				spent += int64(r.Made)
			}
		}
	}
	if s.Used != spent {
		w.t.Errorf("hosts report %d used tokens, targets read and generated %d", s.Used, spent)
	}
}
