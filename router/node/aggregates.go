package node

import "maststage.dev/router/fleet"

// aggregates are the summaries that this host forms with the other hosts of its failure domain, by their names in
// calls between hosts.
func (n *Node) aggregates() map[string]fleet.Aggregate {
	all := map[string]fleet.Aggregate{"balance": n.targets.Balance(), "holders": n.holders}
	if n.capacity != nil {
		all["capacity"] = n.capacity
	}
	return all
}
