package fact

import (
	"testing"

	"github.com/matryer/is"
)

// Releasing the first claim must keep the later ones, so that the next becomes the first.
func TestReleaseMakesNextClaimFirst(t *testing.T) {
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

// An earlier attempt that a replica logs late must not replace a later one, and
// releasing the earlier one must not withdraw the later one.
func TestLateEarlierAttemptDoesNotReplaceLater(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Intent("id", "a#2")
	is.True(!f.Intent("id", "a#1"))
	is.True(!f.Release("id", "a#1"))
	got, _ := f.Get("id")
	is.Equal(got.By("a"), "a#2")
}
