// Package limit reads the rate limits that targets advertise in their responses, and the notices by which hosts
// inform each other of them. A limit is the number of requests per second that a target accepts from all hosts
// together, and holds for as long as its responses say so.
package limit

import (
	"fmt"
	"strings"

	"maststage.dev/lib/decimal"
)

// Advertisement is what one response says about its target's limit.
type Advertisement struct {
	HasLimit  bool
	PerSecond float64 // requests per second from all hosts together; 0 is a valid limit
	Refusal   bool    // the response says that the request was not run
}

// maxPerSecond is above what any target accepts. A larger number is an error.
const maxPerSecond = 1e6

// ValueError reports an unreadable limit in a response.
type ValueError struct {
	Values []string
	Reason string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("limit %.100q %s", e.Values, e.Reason)
}

// Parse reads the limit values of a response. No values mean that it advertises no limit. Errors are of type
// *ValueError.
func Parse(values []string, refusal bool) (Advertisement, error) {
	s := Advertisement{Refusal: refusal}
	switch {
	case len(values) == 0:
		return s, nil
	case len(values) > 1:
		return s, &ValueError{values, "is given more than once"}
	}
	perSecond, ok := decimal.Parse(strings.TrimSpace(values[0]))
	if !ok {
		return s, &ValueError{values, "is not a decimal number"}
	}
	if perSecond > maxPerSecond {
		return s, &ValueError{values, "is larger than any target accepts"}
	}
	s.HasLimit, s.PerSecond = true, perSecond
	return s, nil
}
