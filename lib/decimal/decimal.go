// Package decimal parses decimal numbers in values that other programs send.
package decimal

import (
	"regexp"
	"strconv"
)

// number matches a number without sign or exponent.
var number = regexp.MustCompile(`^([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)

// maxBytes bounds the length of a number.
const maxBytes = 64

// Parse parses a number without sign or exponent, of at most 64 bytes. ok is false if text is none.
func Parse(text string) (value float64, ok bool) {
	if len(text) > maxBytes || !number.MatchString(text) {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
