package node

// minHeldShare is the part of a budget's limit that a host holds at least to be asked for loans by others. A call for
// less is not worth its time.
const minHeldShare = 0.002

// heldForItself returns the tokens, by organisation, that this host holds without being a keeper of the budget: it
// obtains them since most callers of the organisation use it.
func (n *Node) heldForItself() map[string]int64 {
	held := map[string]int64{}
	for _, h := range n.allocator.Holdings() {
		if float64(h.Free) < minHeldShare*float64(h.Limit) {
			continue
		}
		if _, keeper := n.keepers(h.Organisation); !keeper {
			held[h.Organisation] = h.Free
		}
	}
	return held
}
