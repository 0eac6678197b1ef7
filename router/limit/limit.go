// Package limit reads the limits that targets name for themselves: requests a second that a target
// takes from all hosts together, for as long as its answers say so.
package limit

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Advertisement is what one answer says of its target's limit.
type Advertisement struct {
	HasLimit  bool
	PerSecond float64 // requests a second from all hosts together; 0 is a limit, too
	Refusal   bool    // the answer is that the request was not run
}

// mostPerSecond is above what any target takes: a larger number is a mistake.
const mostPerSecond = 1e6

// decimal is a number without sign or exponent.
var decimal = regexp.MustCompile(`^([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)

// mostDigits bounds the length of a number.
const mostDigits = 64

// ValueError tells that an answer names a limit that can't be read.
type ValueError struct {
	Values []string
	Reason string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("limit %.100q %s", e.Values, e.Reason)
}

// Parse reads the values that an answer has for the limit of its target; none: it names no limit.
// Its error is a *ValueError.
func Parse(values []string, refusal bool) (Advertisement, error) {
	s := Advertisement{Refusal: refusal}
	switch {
	case len(values) == 0:
		return s, nil
	case len(values) > 1:
		return s, &ValueError{values, "is named more than once"}
	}
	text := strings.TrimSpace(values[0])
	if len(text) > mostDigits || !decimal.MatchString(text) {
		return s, &ValueError{values, "is not a decimal number"}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return s, &ValueError{values, "is not a decimal number"}
	}
	if perSecond > mostPerSecond {
		return s, &ValueError{values, "is more than any target takes"}
	}
	s.HasLimit, s.PerSecond = true, perSecond
	return s, nil
}
