package prepaid

// maxGifts bounds the gifts that are remembered. A giver repeats a gift for a second at
// most; so many do not come in that time.
const maxGifts = 4096

// giftBook remembers what was answered to gifts, so that a repeated one counts once. It
// is guarded by its treasury's lock.
type giftBook struct {
	took  map[string]bool
	order []string // ids, the oldest first
}

func newGiftBook() *giftBook { return &giftBook{took: map[string]bool{}} }

// answer is what was answered to a gift before.
func (b *giftBook) answer(id string) (took, known bool) {
	took, known = b.took[id]
	return took, known
}

// note remembers an answer.
func (b *giftBook) note(id string, took bool) {
	b.took[id] = took
	b.order = append(b.order, id)
	if len(b.order) > maxGifts {
		delete(b.took, b.order[0])
		b.order = b.order[1:]
	}
}
