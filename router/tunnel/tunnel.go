// Package tunnel carries connections to targets through other hosts, for a host that can't connect itself. The other
// host dials the target and copies bytes; everything else stays with the host that has the request: it reserves and
// settles the tokens, names the deadline, retries and counts attempts. To it a tunnel is one more connection: a request
// that was written to it may have run, and closing it closes the connection to the target.
//
// A host opens a tunnel with a call to another host's address for hosts, which names the target and the key that the
// other host has announced in the shared log; callers can't read it there. The other host only dials the target itself, so a
// tunnel has one hop. After its response the connection carries bytes as they are to the target, and frames back: a
// length of two bytes, and as many bytes. A frame of length 0 is the orderly end of the target's connection. Without it
// the end of a tunnel is no end of a response.
package tunnel

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Path is where hosts accept tunnels.
const Path = "/fleet/tunnel"

// Names in the call that opens a tunnel.
const (
	protocol      = "maststage-tunnel"
	headerKey     = "Maststage-Tunnel-Key"
	headerTarget  = "Maststage-Tunnel-Target"
	headerRefusal = "Maststage-Tunnel-Refusal"
)

// refusal is why a host opens no tunnel.
type refusal string

// The refusals.
const (
	wrongKey      refusal = "key"            // of another incarnation of the host, or forged
	stopping      refusal = "stopping"       // the host shuts down
	busy          refusal = "busy"           // the host's link or processor has no room
	cut           refusal = "cut"            // the host doesn't reach the service's targets itself
	unknownTarget refusal = "unknown_target" // the host's list has no such target
	targetRefused refusal = "target_refused" // nobody listens at the target's address
	unreachable   refusal = "unreachable"    // the target did not respond
)

var statuses = map[refusal]int{
	wrongKey: http.StatusForbidden, stopping: http.StatusServiceUnavailable, busy: http.StatusServiceUnavailable,
	cut: http.StatusServiceUnavailable, unknownTarget: http.StatusNotFound, targetRefused: http.StatusBadGateway,
	unreachable: http.StatusGatewayTimeout,
}

// Errors of Dialer.Dial. No request was sent.
var (
	// ErrNoHost means that no other host can be asked.
	ErrNoHost = errors.New("tunnel: no other host can be asked")
	// ErrNotReached means that another host did not reach the target either, although it reaches others of the service.
	ErrNotReached = errors.New("tunnel: another host does not reach the target")
)

// refusalError is the refusal of a host.
type refusalError struct {
	host   string
	reason refusal
}

func (e *refusalError) Error() string {
	return fmt.Sprintf("tunnel: host %s refused with %q", e.host, e.reason)
}

func (e *refusalError) Is(target error) bool {
	return target == ErrNotReached && (e.reason == targetRefused || e.reason == unreachable)
}

// Times of a tunnel.
const (
	// DialTimeout bounds Dialer.Dial.
	DialTimeout = 250 * time.Millisecond
	// MaxAge is how long after its start a tunnel may get another request, so that requests return to connections of
	// the host's own soon after these work again, and none begins on a tunnel through a host that has been shutting down
	// for longer.
	MaxAge = 2 * time.Second
	// hostTimeout bounds the call to one host.
	hostTimeout = 200 * time.Millisecond
	// hedgeDelay is how long one host may take before the next is asked as well. A host answers in two round trips.
	hedgeDelay = 60 * time.Millisecond
	// maxHosts bounds the hosts asked for one tunnel.
	maxHosts = 4
)
