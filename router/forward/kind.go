package forward

import (
	"net/http"
	"time"

	"maststage.dev/router/overload"
)

// Kind says how a request ended. finalResponses has an entry for each kind to which the host itself responds.
type Kind string

const (
	OK             Kind = "ok"
	NoConfig       Kind = "no_configuration" // this host has no configuration yet
	NoRoute        Kind = "no_route"
	BadKey         Kind = "bad_key"
	BadRequest     Kind = "bad_request"
	TooLarge       Kind = "too_large"
	BodyTimeout    Kind = "body_timeout"    // its body did not arrive in time
	OverBudget     Kind = "over_budget"     // larger than the whole budget
	Unconfirmed    Kind = "unconfirmed"     // this host's configuration refuses it, and a newer one may not
	BudgetWait     Kind = "budget_wait"     // no tokens are available now
	Stopping       Kind = "stopping"        // this host shuts down too soon to serve it
	CatchingUp     Kind = "catching_up"     // this host was suspended and has not refreshed its state yet
	HostBusy       Kind = "host_busy"       // this host's network link, processor or memory is overloaded
	NoTarget       Kind = "no_target"       // no target was available
	NoRegion       Kind = "no_region"       // route and organisation have no allowed region in common
	TargetsFull    Kind = "targets_full"    // the rate limits of all suitable targets are used up
	TargetsBackoff Kind = "targets_backoff" // all suitable targets asked for a pause
	StreamUnknown  Kind = "stream_unknown"  // no host knows which version began the stream that the caller takes up
	VersionGone    Kind = "version_gone"    // no target of the version that began the stream is left
	Overloaded     Kind = "overloaded"      // all targets attempted refused it without running it
	Quarantined    Kind = "quarantined"     // it crashes targets; this attempt was not sent
	TargetFailed   Kind = "target_failed"   // it may have run, and no complete response arrived
	Timeout        Kind = "timeout"         // it may have run, and its deadline passed
	TimeoutUnrun   Kind = "timeout_unrun"   // its deadline passed, and it has not run
	CutOff         Kind = "cut_off"         // the response broke off after its beginning was forwarded
	CallerGone     Kind = "caller_gone"
)

// RestsOnConfig reports whether a host refuses requests of this kind by its configuration, of BadRequest a part.
func (k Kind) RestsOnConfig() bool {
	switch k {
	case NoRoute, BadKey, TooLarge, BadRequest, OverBudget, Unconfirmed:
		return true
	}
	return false
}

// finalResponse is the response that the host itself sends for a kind.
type finalResponse struct {
	status     int
	retryAfter time.Duration // 0: no Retry-After header
}

// operatorRetryAfter keeps callers from retrying before an operator has examined the request or
// the configuration. It is longer than any caller waits for a response.
const operatorRetryAfter = time.Hour

// Bounds of the Retry-After of unconfirmed requests.
const (
	// minUnconfirmedRetryAfter is about the time until this host has asked others.
	minUnconfirmedRetryAfter = 300 * time.Millisecond
	// maxUnconfirmedRetryAfter bounds what a caller loses after the end of a long outage.
	maxUnconfirmedRetryAfter = 5 * time.Second
	// unconfirmedAgePerRetry is how many times longer an outage has lasted than a caller waits: waits that grow with it
	// keep the retries of a long one few.
	unconfirmedAgePerRetry = 8
)

// unconfirmedRetryAfter is the Retry-After of requests that a configuration of the given age refuses.
func unconfirmedRetryAfter(age time.Duration) time.Duration {
	wait := min(max(age/unconfirmedAgePerRetry, minUnconfirmedRetryAfter), maxUnconfirmedRetryAfter)
	return wait.Round(time.Millisecond)
}

var finalResponses = map[Kind]finalResponse{
	NoConfig:       {http.StatusServiceUnavailable, 500 * time.Millisecond},
	NoRoute:        {http.StatusNotFound, 0},
	BadKey:         {http.StatusUnauthorized, 0},
	BadRequest:     {http.StatusBadRequest, 0},
	TooLarge:       {http.StatusRequestEntityTooLarge, 0},
	BodyTimeout:    {http.StatusRequestTimeout, 0},
	OverBudget:     {http.StatusPaymentRequired, 0},
	Unconfirmed:    {http.StatusServiceUnavailable, minUnconfirmedRetryAfter},
	BudgetWait:     {http.StatusServiceUnavailable, 5 * time.Second},
	Stopping:       {http.StatusServiceUnavailable, 50 * time.Millisecond},
	CatchingUp:     {http.StatusServiceUnavailable, 50 * time.Millisecond},
	HostBusy:       {http.StatusServiceUnavailable, overload.RebalanceTime},
	NoTarget:       {http.StatusServiceUnavailable, 200 * time.Millisecond},
	NoRegion:       {http.StatusServiceUnavailable, operatorRetryAfter},
	TargetsFull:    {http.StatusServiceUnavailable, 200 * time.Millisecond},
	TargetsBackoff: {http.StatusServiceUnavailable, time.Second},
	StreamUnknown:  {http.StatusServiceUnavailable, 300 * time.Millisecond},
	VersionGone:    {http.StatusServiceUnavailable, 500 * time.Millisecond},
	Overloaded:     {http.StatusServiceUnavailable, 100 * time.Millisecond},
	Quarantined:    {http.StatusServiceUnavailable, operatorRetryAfter},
	TargetFailed:   {http.StatusBadGateway, 0},
	Timeout:        {http.StatusGatewayTimeout, 0},
	TimeoutUnrun:   {http.StatusServiceUnavailable, 100 * time.Millisecond},
}
