package decimal

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against texts that strconv accepts and other programs do not send as numbers, or the other way round.
func TestParse(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]float64{"0": 0, "1.5": 1.5, ".25": 0.25, "2.": 2, "007": 7, "0.30000000000000000000001": 0.3} {
		got, ok := Parse(text)
		is.True(ok)
		is.Equal(got, want)
	}
	for _, text := range []string{"", ".", "-1", "+1", "1e3", "0x10", "NaN", "Inf", "1_0", " 1", "1,5", strings.Repeat("1", 65)} {
		_, ok := Parse(text)
		is.True(!ok)
	}
}
