package policy

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func known(pool string) bool { return pool == "p" }

func TestDecide(t *testing.T) {
	is := is.New(t)
	p, err := Compile(`input_bytes > 100 ? refuse("too long") : to("p").Priority(3).Once().Deadline(500).MaxTokens(7).Margin(2)`, known)
	is.NoErr(err)
	d, err := p.Decide(Request{InputBytes: 10})
	is.NoErr(err)
	is.Equal(d, Decision{Pool: "p", Rank: 3, Single: true, Within: 500 * time.Millisecond, Tokens: 7, Spare: 2})
	d, err = p.Decide(Request{InputBytes: 1000})
	is.NoErr(err)
	is.Equal(d.Reason, "too long")
}

func TestOutOfRangeValuesAreClamped(t *testing.T) {
	is := is.New(t)
	p, err := Compile(`to("p").Deadline(-5).MaxTokens(-1)`, known)
	is.NoErr(err)
	d, err := p.Decide(Request{})
	is.NoErr(err)
	is.Equal(d.Within, maxDeadline)
	is.Equal(d.Tokens, 0)
}

// Programs that could run for long or don't return a decision are rejected at publish.
func TestInvalidProgramsAreRejected(t *testing.T) {
	for _, c := range []struct{ source, want string }{
		{`to("q")`, `line 1, column 1: no pool "q"`},
		{"let x = 1;\nto(class)", "line 2"},
		{`"p"`, "not a decision"},
		{`class == "x" ? to("p") : 5`, "not a decision"},
		{`to("p").Prio(1)`, "line 1"},
		{`nosuch`, "unknown name nosuch"},
		{`map(1..1000000, #)`, "line 1"},
		{strings.Repeat("1+", maxNodes) + "1", "nodes"},
		{strings.Repeat(" ", maxSource+1), "at most"},
		{`to(`, "line 1"},
	} {
		is := is.New(t)
		_, err := Compile(c.source, known)
		is.True(err != nil) // accepted
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.40q: %v, want %q", c.source, err, c.want)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	p, err := Compile(`to("p").Priority(input_bytes < 2000 ? 8 : 4).Deadline(15000).MaxTokens(300)`, known)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Decide(Request{InputBytes: 100}); err != nil {
			b.Fatal(err)
		}
	}
}
