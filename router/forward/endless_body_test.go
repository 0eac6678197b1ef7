package forward

import (
	"net/http"
	"testing"

	"maststage.dev/standin/endless"
)

const failureHead = "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + endless.IDMark + "\r\nX-Stamp: bad\r\n"

// Guards against a response that was forwarded in part as its deadline passed, and then ended as if it were complete.
func TestLongResponseCutByItsDeadlineIsNotWhole(t *testing.T) {
	for name, answer := range map[string]endless.Answer{
		"no length":      {Start: okHead + "\r\n", Repeat: "body"},
		"chunks":         {Start: chunkedHead, Repeat: chunk},
		"failure":        {Start: failureHead + "\r\n", Repeat: "body"},
		"failed, chunks": {Start: failureHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: chunk},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			bad := f.addEndless("plain", answer, fastGap)
			got := f.doEndless(bad, func() *http.Request { return f.request("POST", "/unsafe/x", "b") })
			f.is.True(got.err != nil)
			f.is.True(len(got.body) > 0 || got.status == 0) // else the test shows nothing
			f.is.Equal(bad.Arrivals(), 1)
			f.eventually("the target's connection is closed", func() bool { return bad.Answering() == 0 })
			ended := f.recorder.waitOutcome(t, f.lastID())
			f.is.Equal(ended.Kind, CutOff)
			f.is.True(ended.Duration < f.handler.Config().Match("a.example", "/unsafe/x").Timeout()+endlessMargin)
		})
	}
}
