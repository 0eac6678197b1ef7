package prepaid

// maxTransfers bounds the remembered transfers. A sender repeats a transfer for at most a second,
// and fewer than this arrive in that time.
const maxTransfers = 4096

// transferTable remembers whether each transfer was accepted, so that a repeated one counts once.
// It is guarded by the Allocator's lock.
type transferTable struct {
	accepted map[string]bool
	order    []string // ids, oldest first
}

func newTransferTable() *transferTable { return &transferTable{accepted: map[string]bool{}} }

// previous returns the outcome recorded for a transfer.
func (b *transferTable) previous(id string) (accepted, known bool) {
	accepted, known = b.accepted[id]
	return accepted, known
}

// record remembers the outcome of a transfer.
func (b *transferTable) record(id string, accepted bool) {
	b.accepted[id] = accepted
	b.order = append(b.order, id)
	if len(b.order) > maxTransfers {
		delete(b.accepted, b.order[0])
		b.order = b.order[1:]
	}
}
