package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime/debug"

	"maststage.dev/lib/inbound"
	"maststage.dev/router/forward"
	"maststage.dev/router/settings"
)

// What clients of all listeners may make this host hold, as parts of what its machine has. The rest is for the host's own state, for
// bodies while they are copied, and for its connections to targets, to the log and to other hosts.
const (
	clientMemory  = 0.35
	callerShare   = 0.4 // of the descriptors
	hostShare     = 0.25
	readyShare    = 0.03
	metricsShare  = 0.03
	runtimeMemory = 0.9 // limit of the runtime, near which the garbage collector runs more often
)

// newInbound makes the account of what clients make this host hold.
func newInbound(cfg *settings.Settings, onEvict func()) *inbound.Account {
	memory := cmp.Or(int64(cfg.Capacity.MemoryMb)<<20, inbound.MachineMemory())
	if cfg.Capacity.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(runtimeMemory * float64(memory)))
	}
	return inbound.New(inbound.Limits{
		Bytes:       int64(clientMemory * float64(memory)),
		Connections: cmp.Or(cfg.Capacity.Descriptors, inbound.MachineDescriptors()),
	}, onEvict)
}

// connContext is the ConnContext of the server for callers.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return inbound.ConnContext(forward.ConnContext(ctx, nc), nc)
}

// callerHandler serves callers within the account.
func (n *Node) callerHandler() http.Handler {
	return n.inbound.Handler(n.handler, settings.Seconds(n.cfg.Callers.BodyS))
}
