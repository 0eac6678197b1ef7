package inbound

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

var start = time.Unix(1000, 0)

// at is a moment of a test.
func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// newAccount returns an account with room for 100 small bodies, 75 of them for large ones.
func newAccount() *Account { return New(Limits{Bytes: 100 * smallBytes, Connections: 100}, func() {}) }

// begin adds a charge whose eviction does nothing.
func begin(a *Account, bytes int64, now time.Time) *charge {
	c := &charge{evict: func() {}}
	a.begin(c, bytes, now)
	return c
}

// Guards against evicting requests that arrive as they should: those that have held most for longest go first.
func TestChargesThatHeldMostForLongestAreEvicted(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	stalled := begin(a, 40*smallBytes, at(0))
	younger := begin(a, 30*smallBytes, at(9))
	small := begin(a, smallBytes, at(0))
	is.NoErr(younger.grow(6*smallBytes, at(10)))
	is.True(stalled.evicted)
	is.True(!younger.evicted && !small.evicted)
	is.Equal(a.Bytes(), int64(37*smallBytes))
	is.Equal(stalled.grow(1, at(10)), ErrEvicted)
	stalled.close()
	is.Equal(a.Bytes(), int64(37*smallBytes))
}

// Guards against evicting requests that were received whole, and against refusing small ones because of large ones.
func TestWholeRequestsStayAndSmallOnesFit(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	for range 2 {
		begin(a, 30*smallBytes, at(0)).settle(30 * smallBytes)
	}
	late := begin(a, 20*smallBytes, at(1))
	is.True(late.evicted) // no room for large ones is left
	for range 40 {
		is.True(!begin(a, smallBytes, at(2)).evicted)
	}
	is.Equal(a.Bytes(), int64(100*smallBytes))
	// Small ones make room for small ones.
	is.True(!begin(a, smallBytes, at(3)).evicted)
	is.Equal(a.Bytes(), int64(100*smallBytes))
}

// Guards against a request that breaks off because it was evicted as its end arrived.
func TestRequestThatIsWholeIsNoLongerEvicted(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	c := begin(a, 50*smallBytes, at(0))
	begin(a, 30*smallBytes, at(1))
	is.True(c.evicted)
	is.True(c.settle(50 * smallBytes))
	is.True(!c.isEvicted())
	is.Equal(a.Bytes(), int64(80*smallBytes))
	c.close()
	c.close()
	is.Equal(a.Bytes(), int64(30*smallBytes))
}
