package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

// Guards against tokens that are granted twice since the log came back from a copy without the first grant.
func TestRestoredLogDoesNotGrantTokensTwice(t *testing.T) {
	is := is.New(t)
	const limit = 10_000
	g := newHostGroup(t, 2)
	a, _ := g.start("a", nil)
	b, _ := g.start("b", nil)
	for _, alloc := range []*Allocator{a, b} {
		alloc.Configure(1, []Budget{{"org", limit}}, false)
	}
	spent := spend(a, "org", 100, 5)
	copied := g.log.Snapshot()
	spent += spend(a, "org", 100, 30) + spend(b, "org", 100, 30)
	is.True(spent > limit/4)

	g.log.Restore(copied)
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		spent += spend(a, "org", 100, 200) + spend(b, "org", 100, 200)
	}
	t.Logf("%d of %d tokens are spent", spent, limit)
	is.True(spent <= limit)
	is.True(spent > limit/2)
}

// Guards against tokens of a restored account that no host gets any more, and against a budget whose top-up after the
// loss has no effect.
func TestBudgetIsUsableAfterTheLogWasRestored(t *testing.T) {
	is := is.New(t)
	g := newHostGroup(t, 2)
	a, _ := g.start("a", nil)
	b, _ := g.start("b", nil)
	for _, alloc := range []*Allocator{a, b} {
		alloc.Configure(1, []Budget{{"org", 1000}}, false)
	}
	copied := g.log.Snapshot()
	spent := spend(a, "org", 100, 5)
	g.log.Restore(copied)
	for end := time.Now().Add(8 * time.Second); spent < 900 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		spent += spend(a, "org", 100, 1) + spend(b, "org", 100, 1)
	}
	is.True(spent >= 900 && spent <= 1000)
	for _, alloc := range []*Allocator{a, b} {
		alloc.Configure(2, []Budget{{"org", 2000}}, false)
	}
	for end := time.Now().Add(8 * time.Second); spent < 1800 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		spent += spend(a, "org", 100, 1) + spend(b, "org", 100, 1)
	}
	is.True(spent >= 1800 && spent <= 2000)
}

// Guards against an append without a response that is taken for done, or undone, by the offset at which the restored log
// has another record.
func TestAppendWithoutResponseIsNotResolvedByARestoredLog(t *testing.T) {
	is := is.New(t)
	const limit = 1000
	g := newHostGroup(t, 2)
	a, _ := g.start("a", nil)
	a.Configure(1, []Budget{{"org", limit}}, false)
	spent := spend(a, "org", 10, 1)
	copied := g.log.Snapshot()
	g.log.SetFault("a", memlog.Fault{Lose: true})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if r, err := a.Reserve(ctx, "org", limit/2); err == nil {
		r.Settle(limit / 2)
		spent += limit / 2
	}
	g.log.Restore(copied)
	g.log.SetFault("a", memlog.Fault{})
	b, _ := g.start("b", nil)
	b.Configure(1, []Budget{{"org", limit}}, false)
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		spent += spend(a, "org", 10, 200) + spend(b, "org", 10, 200)
	}
	is.True(spent <= limit)
}

// at is a position of the log.
func at(era, offset int64) eventlog.Position { return eventlog.Position{Era: era, Offset: offset} }

// Guards against grants of an earlier era that only a late append has, which took effect behind a record of the present
// era, and against that append's account replacing the present one.
func TestLateAppendOfAnEarlierEraDoesNotReplaceTheAccount(t *testing.T) {
	is := is.New(t)
	var al allocation
	al.applyRecord(Account{Writer: "a", Era: 1, Granted: 5}, at(1, 0))
	al.applyRecord(Account{Writer: "b", Era: 0, Granted: 13}, at(1, 1))
	is.True(al.rewrite)
	is.Equal(al.account.Granted, int64(18))
	is.Equal(al.account.Era, int64(1))
}

// Guards against grants that several hosts know of, and write again one after the other, that count more than once or are
// left out.
func TestLostGrantsCountOnce(t *testing.T) {
	is := is.New(t)
	copied := Account{Writer: "a", Era: 0, Granted: 10}
	var less, more allocation
	less.applyRecord(Account{Writer: "a", Era: 0, Granted: 30}, at(0, 3))
	more.applyRecord(Account{Writer: "b", Era: 0, Granted: 50}, at(0, 5))
	less.applyRecord(copied, at(1, 1))
	is.True(less.rewrite)
	written := less.account // and 7 are taken
	written.Granted += 7
	more.applyRecord(copied, at(1, 1))
	more.applyRecord(written, at(1, 2))
	is.True(more.rewrite)
	is.Equal(more.account.Granted, int64(57))
	less.applyRecord(more.account, at(1, 3))
	is.True(!less.rewrite)
	is.Equal(less.account.Granted, int64(57))

	// The log is restored once more, from a copy of before both were written.
	less.applyRecord(copied, at(2, 1))
	is.Equal(less.account.Granted, int64(57))
	is.True(less.rewrite)
}

// Guards against an account of an earlier build, which drops what it does not know, that counts lost grants twice.
func TestAccountOfAnEarlierBuildKeepsItsBases(t *testing.T) {
	is := is.New(t)
	var al allocation
	al.applyRecord(Account{Writer: "a", Era: 0, Granted: 30}, at(0, 3))
	al.applyRecord(Account{Writer: "a", Era: 0, Granted: 10}, at(1, 1))
	al.applyRecord(al.account, at(1, 2))
	earlier, err := DecodeAccount([]byte(`{"granted":35,"limit":100,"version":1,"writer":"old","op":1}`))
	is.NoErr(err)
	al.applyRecord(earlier, at(1, 3))
	is.Equal(al.account.Granted, int64(35))
	is.True(!al.rewrite)
	is.Equal(len(al.account.Bases), 1)
}

// Guards against tokens that are granted twice since only a host that died knew of the lost grant.
func TestLostGrantsOfADeadHostAreNotMadeAgain(t *testing.T) {
	is := is.New(t)
	const limit = 10_000
	g := newHostGroup(t, 2)
	a, stop := g.start("a", nil)
	b, _ := g.start("b", nil)
	for _, alloc := range []*Allocator{a, b} {
		alloc.Configure(1, []Budget{{"org", limit}}, false)
	}
	spent := spend(b, "org", 100, 1)
	copied := g.log.Snapshot()
	spent += spend(a, "org", 100, 30)
	stop()
	g.log.Restore(copied)
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		spent += spend(b, "org", 100, 200)
	}
	t.Logf("%d of %d tokens are spent", spent, limit)
	is.True(spent <= limit)
}
