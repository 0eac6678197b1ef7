// Package retryafter reads the header Retry-After of RFC 9110, section 10.2.3, from responses of targets.
package retryafter

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"maststage.dev/lib/decimal"
)

// Max is the longest time that Parse returns. Longer ones are shortened to it.
const Max = 10 * time.Minute

// ValueError reports an unreadable Retry-After.
type ValueError struct {
	Values []string
	Reason string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("Retry-After %.100q %s", e.Values, e.Reason)
}

// Parse reads the Retry-After of a response: seconds, or the date at which the time ends. A date counts from the
// response's own Date, as clocks may differ, or from now if it has none. Without the header, and for a date in the
// past, the time is 0. Errors are of type *ValueError.
func Parse(header http.Header, now time.Time) (time.Duration, error) {
	values := header["Retry-After"]
	switch {
	case len(values) == 0:
		return 0, nil
	case len(values) > 1:
		return 0, &ValueError{values, "is given more than once"}
	}
	text := strings.TrimSpace(values[0])
	if seconds, ok := decimal.Parse(text); ok { // targets send fractions, too
		return time.Duration(math.Min(seconds, Max.Seconds()) * float64(time.Second)), nil
	}
	end, err := http.ParseTime(text)
	if err != nil {
		return 0, &ValueError{values, "is neither a number of seconds nor a date"}
	}
	if date, err := http.ParseTime(header.Get("Date")); err == nil {
		now = date
	}
	return min(max(end.Sub(now), 0), Max), nil
}
