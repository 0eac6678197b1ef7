package fact

import (
	"testing"

	"github.com/matryer/is"
)

// A claim that was released leaves those behind it in force.
func TestReleaseUncoversTheNext(t *testing.T) {
	is := is.New(t)
	f := New()
	is.True(f.Intent("id", "a#1"))
	is.True(!f.Intent("id", "b#1"))
	is.True(f.Release("id", "a#1"))
	got, _ := f.Get("id")
	is.Equal(got.First(), "b#1")
	is.Equal(got.Other("a"), "b#1")
	is.Equal(got.Other("b"), "")
}

// An earlier try that a holder logs late does not take the place of a later one,
// and its release does not take the later one back.
func TestLateEarlierTry(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Intent("id", "a#2")
	is.True(!f.Intent("id", "a#1"))
	is.True(!f.Release("id", "a#1"))
	got, _ := f.Get("id")
	is.Equal(got.By("a"), "a#2")
}
