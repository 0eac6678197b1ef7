package node

import "time"

// admitsConnection reports whether to take a new connection of a caller, by the number of those in use.
func (n *Node) admitsConnection(inUse int) bool {
	if n.Draining() || n.intake.Admit(inUse, time.Now()) {
		return true
	}
	n.observer.Count("connections_turned_away_total")
	return false
}

// lacksConnections notes that a request was refused since this host's part of the connections to targets is in use.
func (n *Node) lacksConnections() { n.intake.RecordLack(n.server.InUse(), time.Now()) }
