package declare

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func examples(t *testing.T) string {
	var b strings.Builder
	for _, name := range []string{"petfood", "examora", "operators"} {
		data, err := os.ReadFile("../../examples/" + name + ".ini")
		if err != nil {
			t.Fatal(err)
		}
		b.Write(data)
	}
	return b.String()
}

func TestExamplesParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse(examples(t))
	is.NoErr(err)
	is.Equal(len(s.Organisations), 2)
	is.Equal(s.ByKey("pet-food-demo-key").Name, "pet-food")
	is.True(s.ByKey("no such key") == nil)
	is.True(s.IsOperator("operator-demo-key"))
	is.True(!s.IsOperator("pet-food-demo-key"))
}

// An invalid declaration is rejected with a one-line error that gives section, key and reason.
func TestInvalidDeclarationsAreRejected(t *testing.T) {
	good := examples(t)
	for _, c := range []struct{ old, new, want string }{
		{"budget = pet-food-2026", "budget = none", `section [organisation pet-food]: key "budget": no budget "none" is declared`},
		{"budget = pet-food-2026", "budget = examora-autumn", `key "budget": "examora-autumn" belongs to "examora"`},
		{"organisation = examora", "organisation = nobody", `"nobody"`},
		{"tokens = 5000000", "tokens = many", `key "tokens": "many" is not a number of tokens`},
		{"tokens = 5000000", "tokens = 1\ncolour = red", `key "colour" is not known`},
		{"kind = service", "kind = box", `key "kind": "box" is neither "engine" nor "service"`},
		{"[pool diet]", "[pond diet]", `"pond" is none of`},
		{"[pool diet]", "[pool Diet!]", `the name "Diet!"`},
		{`to("orders").Once().Priority(9)`, `to("order").Once().Priority(9)`, `section [policy renewal]: key "program": line 1, column 1: no pool "order" is declared`},
		{`to("orders").Once().Priority(7)`, `to("orders").Onze().Priority(7)`, `section [policy reprice]: key "program": line 1`},
		{`to("diet").Priority(2)`, `1 + 1 || to("diet").Priority(2)`, `section [policy delivery-note]: key "program": line 1`},
		{`program = to("sessions")`, `programme = to("sessions")`, `key "program" is missing`},
	} {
		is := is.New(t)
		_, err := Parse(strings.Replace(good, c.old, c.new, 1))
		is.True(err != nil)                            // accepted
		is.True(strings.Contains(err.Error(), c.want)) // another error
		is.True(!strings.Contains(err.Error(), "\n\n"))
		if t.Failed() {
			t.Fatalf("%q: %v", c.new, err)
		}
	}
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	old := "[a x]\nk = 1\n[b y]\nk = 1\n"
	now := "[c z]\nk = 1\n[b y]\n; a comment\nk = 2\n"
	changes, err := Diff(old, now)
	is.NoErr(err)
	is.Equal(changes, []Change{{"a x", "removed"}, {"b y", "changed"}, {"c z", "added"}})
}
