package prepaid

import (
	"testing"

	"github.com/matryer/is"

	"maststage.dev/standin/until"
)

func TestDecodeAccountRejectsOtherDocuments(t *testing.T) {
	for _, text := range []string{"", "x", "null", "{}", "[]", "7", `{"granted":"5"}`, `{"limit":100}`, `{"granted":-1,"version":3,"writer":"h"}`} {
		if _, err := DecodeAccount([]byte(text)); err == nil {
			t.Errorf("%q is accepted as an account", text)
		}
	}
}

func FuzzDecodeAccount(f *testing.F) {
	f.Add([]byte(`{"granted":5,"limit":100,"version":3,"writer":"h/1","op":7}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, value []byte) {
		a, err := DecodeAccount(value)
		if err == nil && (a.Granted < 0 || a.Writer == "" && a.Version <= 0) {
			t.Errorf("%q: %+v", value, a)
		}
	})
}

// A host that starts while an account's newest record can't be decoded takes nothing, since it
// can't know what others hold. It resumes once a host that knows writes the account again.
func TestNothingIsTakenFromUndecodableAccount(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 2)
	a, stop := h.start("a", nil)
	a.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(a, "org", 10, 40), int64(400))
	stop()
	p := a.writerOf("org").partition
	good, _ := h.log.Get(p, "org")
	h.log.Put(p, "org", []byte("null"))
	b, _ := h.start("b", nil)
	b.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(b, "org", 10, 20), int64(0))
	h.log.Put(p, "org", good.Value)
	until.True(t, "it takes tokens again", func() bool { return spend(b, "org", 10, 1) == 10 })
	is.True(400+10+spend(b, "org", 10, 100) <= 1000)
}
