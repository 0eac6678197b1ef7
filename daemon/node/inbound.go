package node

import (
	"cmp"
	"net"
	"runtime/debug"

	"maststage.dev/daemon/settings"
	"maststage.dev/lib/inbound"
)

// What clients of both listeners may make this host hold, as parts of what its machine has. The collector lets the heap grow to twice
// what is in use, and the server keeps buffers of earlier requests.
const (
	clientMemory  = 0.15
	callerShare   = 0.4 // of the descriptors
	hostShare     = 0.25
	runtimeMemory = 0.6 // limit of the runtime, near which the garbage collector runs more often; the program takes some more
)

// newInbound makes the account of what clients make this host hold.
func (n *Node) newInbound(m settings.Machine) *inbound.Account {
	memory := cmp.Or(int64(m.MemoryMb)<<20, inbound.MachineMemory())
	if m.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(runtimeMemory * float64(memory)))
	}
	return inbound.New(inbound.Limits{
		Bytes:       int64(clientMemory * float64(memory)),
		Connections: cmp.Or(m.Descriptors, inbound.MachineDescriptors()),
	}, func() { n.evicted.Add(1) })
}

// peerListener charges the connections of other hosts to the account.
func (n *Node) peerListener(l net.Listener) net.Listener {
	return n.inbound.Listener(hostShare).AcceptOpaque(l)
}
