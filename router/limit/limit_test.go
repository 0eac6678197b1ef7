package limit

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a limit that is read wrongly, or reported where a response has none.
func TestParse(t *testing.T) {
	for text, want := range map[string]float64{
		"1": 1, "1.5": 1.5, "0": 0, "0.0": 0, ".5": 0.5, " 2 ": 2, "1000000": 1e6, "0.001": 0.001,
		"4.311409603321299": 4.311409603321299, "1.4000000000000001": 1.4000000000000001, "0.30000000000000000000001": 0.3,
	} {
		is := is.New(t)
		s, err := Parse([]string{text}, false)
		is.NoErr(err)
		is.Equal(s, Advertisement{HasLimit: true, PerSecond: want})
	}
	is := is.New(t)
	s, err := Parse(nil, true)
	is.NoErr(err)
	is.Equal(s, Advertisement{Refusal: true})
}

// Guards against an invalid limit that takes effect, or floods the log with its text.
func TestInvalidLimitsAreRejected(t *testing.T) {
	for _, values := range [][]string{
		{""}, {"-1"}, {"+1"}, {"NaN"}, {"Inf"}, {"1e99"}, {"1e1"}, {"0x10"}, {"1,5"}, {"1 2"}, {"1_0"}, {"."}, {"many"},
		{"1000001"}, {"99999999999999999999"}, {strings.Repeat("1", 5000)}, {"1", "1"}, {"1", "2"},
	} {
		is := is.New(t)
		s, err := Parse(values, false)
		var bad *ValueError
		is.True(errors.As(err, &bad))
		is.True(!s.HasLimit)
		is.True(len(err.Error()) < 1000)
	}
}

// FuzzParse checks that every accepted limit is a number within bounds.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"1.5", "-0", "1e99", "NaN", "0", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]string{text}, false)
		if s.HasLimit != (err == nil) || !(s.PerSecond >= 0 && s.PerSecond <= maxPerSecond) {
			t.Fatalf("%q: %+v, %v", text, s, err)
		}
	})
}
