package forward

import (
	"net/http"
	"time"

	"maststage.dev/router/limit"
	"maststage.dev/router/retryafter"
)

// leavingValue is the value of the header Leaving of a target that is about to exit.
const leavingValue = "1"

// recordAdvisories records what a response says about its target beside the request: that it is about to exit, for
// how long it wants no requests, that it is brittle, and its rate limit. It ignores a response to a misdirected request, which another
// target sent.
func (a *attempt) recordAdvisories(resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	a.recordBackoff(resp)
	names := a.request.handler.names
	refusal := resp.Header.Get(names.NotRun) != ""
	if !refusal && resp.Header.Get(names.Stamp) == "" {
		return // it need not come from the target itself
	}
	a.recordLeaving(resp)
	a.recordBrittle(resp)
	a.recordLimit(resp, refusal)
}

// recordBackoff records for how long a target that refuses a request wants no others from this host. It holds for
// whatever answers at the target's address: requests sent there would not be served. Other statuses than 503 refuse
// the one request, not all.
func (a *attempt) recordBackoff(resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	targets := a.request.handler.opts.Targets
	d, err := retryafter.Parse(resp.Header, time.Now())
	if err != nil {
		targets.RecordMalformedAdvisory(a.target, err)
		return
	}
	targets.RecordBackoff(a.target, d)
}

// recordLeaving records that a target is about to exit.
func (a *attempt) recordLeaving(resp *http.Response) {
	if name := a.request.handler.names.Leaving; name != "" && resp.Header.Get(name) == leavingValue {
		a.request.handler.opts.Targets.RecordLeaving(a.target)
	}
}

// recordLimit records the rate limit that a response advertises for its target.
func (a *attempt) recordLimit(resp *http.Response, refusal bool) {
	names, targets := a.request.handler.names, a.request.handler.opts.Targets
	if names.Limit == "" {
		return
	}
	advertised, err := limit.Parse(resp.Header[names.Limit], refusal)
	if err != nil {
		targets.RecordMalformedLimit(a.target, err)
		return
	}
	targets.RecordLimit(a.target, advertised)
}
