package fleet

import (
	"context"
	"net/http"

	"maststage.dev/router/prepaid"
)

// historyRequest asks what a host saw of the limits of budgets.
type historyRequest struct {
	Since int64 `json:"since"` // the version from which on
}

type historyResponse struct {
	Since   int64            `json:"since"`
	UpTo    int64            `json:"up_to"`
	Lowered map[string]int64 `json:"lowered,omitempty"` // only versions above the one asked for
}

// FetchHistory asks one other host, drawn anew each time, what it saw of the limits of budgets
// since a version.
func (f *Fleet) FetchHistory(ctx context.Context, since int64) (h prepaid.LimitHistory, ok bool) {
	addresses := f.addresses()
	f.mu.Lock()
	addresses = f.silentLast(addresses)
	f.mu.Unlock()
	if len(addresses) == 0 {
		return h, false
	}
	var got historyResponse
	err := f.calls.do(ctx, addresses[0], pathHistory, historyRequest{Since: since}, &got)
	f.noteSilent(addresses[0], err)
	return prepaid.LimitHistory{Since: got.Since, UpTo: got.UpTo, Lowered: got.Lowered}, err == nil
}

func (f *Fleet) serveHistory(w http.ResponseWriter, r *http.Request) {
	var ask historyRequest
	if !read(w, r, &ask) {
		return
	}
	h := f.opts.History()
	answer := historyResponse{Since: h.Since, UpTo: h.UpTo, Lowered: map[string]int64{}}
	for organisation, version := range h.Lowered {
		if version > ask.Since {
			answer.Lowered[organisation] = version
		}
	}
	write(w, answer)
}
