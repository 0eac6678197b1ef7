package limit

import (
	"testing"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
)

// Guards against a notice that other hosts decode to something else than was written.
func TestNoticeRoundTrip(t *testing.T) {
	for _, n := range []Notice{
		{Target: "t", PerSecond: 1.5, StartedAt: 7, Host: "h", AgeMs: 300, InForce: true},
		{Target: "t", PerSecond: 0, ByRefusals: true, Raises: 2, InForce: true},
		{Target: "t"},
	} {
		is := is.New(t)
		rec, err := n.Record()
		is.NoErr(err)
		got, ok, err := ParseNotice(rec)
		is.NoErr(err)
		is.True(ok)
		is.Equal(got, n)
	}
}

// Guards against invalid records, or those of other kinds, that set a limit or crash a host.
func TestInvalidNoticesAreRejected(t *testing.T) {
	is := is.New(t)
	_, ok, err := ParseNotice(eventlog.Record{Key: "host-1", Value: []byte("{}")})
	is.True(!ok)
	is.NoErr(err)
	for _, value := range []string{
		"garbled", "[]", `{"target":"other","per_second":1}`, `{"target":"t","per_second":-1}`, `{"target":"t","per_second":1e99}`,
		`{"target":"t","per_second":1,"age_ms":-5}`, `{"target":"t","per_second":1,"age_ms":9e15}`, `{"target":"t","per_second":1,"raises":-1}`,
	} {
		n, ok, err := ParseNotice(eventlog.Record{Key: KeyPrefix + "t", Value: []byte(value)})
		is.True(ok)
		is.True(err != nil)
		is.True(!n.InForce)
	}
}
