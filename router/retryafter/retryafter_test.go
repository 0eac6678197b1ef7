package retryafter

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Date(2030, time.May, 1, 12, 0, 0, 0, time.UTC)

// Guards against a time that is read wrongly, or reported where a response has none.
func TestParse(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0": 0, "0.5": 500 * time.Millisecond, ".25": 250 * time.Millisecond, " 2 ": 2 * time.Second,
		"600": Max, "601": Max, "99999999999999999999": Max, strings.Repeat("9", 64): Max,
		now.Add(7 * time.Second).Format(http.TimeFormat): 7 * time.Second,
		now.Add(-time.Hour).Format(http.TimeFormat):      0,
		now.AddDate(9, 0, 0).Format(http.TimeFormat):     Max,
	} {
		is := is.New(t)
		got, err := Parse(http.Header{"Retry-After": {text}}, now)
		is.NoErr(err)
		is.Equal(got, want)
	}
	is := is.New(t)
	got, err := Parse(http.Header{}, now)
	is.NoErr(err)
	is.Equal(got, time.Duration(0))
}

// Guards against a clock of this host that differs from the target's, which would change the time.
func TestDateCountsFromTheResponsesDate(t *testing.T) {
	is := is.New(t)
	got, err := Parse(http.Header{
		"Retry-After": {now.Add(5 * time.Second).Format(http.TimeFormat)}, "Date": {now.Format(http.TimeFormat)},
	}, now.Add(time.Hour))
	is.NoErr(err)
	is.Equal(got, 5*time.Second)
}

// Guards against an invalid time that takes effect, or floods the log with its text.
func TestInvalidTimesAreRejected(t *testing.T) {
	for _, values := range [][]string{
		{""}, {"-1"}, {"+1"}, {"NaN"}, {"Inf"}, {"1e3"}, {"0x10"}, {"1,5"}, {"1 2"}, {"."}, {"soon"}, {"2030-05-01"},
		{strings.Repeat("1", 5000)}, {"1", "1"}, {"1", "2"},
	} {
		is := is.New(t)
		got, err := Parse(http.Header{"Retry-After": values}, now)
		var bad *ValueError
		is.True(errors.As(err, &bad))
		is.Equal(got, time.Duration(0))
		is.True(len(err.Error()) < 1000)
	}
}

// FuzzParse checks that every accepted time is within bounds.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"1.5", "-0", "1e99", "NaN", "0", "", now.Format(http.TimeFormat)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse(http.Header{"Retry-After": {text}}, now)
		if got < 0 || got > Max || err != nil && got != 0 {
			t.Fatalf("%q: %v, %v", text, got, err)
		}
	})
}
