package fleet

import (
	"context"
	"net/http"

	"maststage.dev/router/prepaid"
)

// historyRequest asks for the changes of budget limits that a host has seen.
type historyRequest struct {
	Since int64 `json:"since"` // version of the configuration
}

type historyResponse struct {
	Since   int64            `json:"since"`
	UpTo    int64            `json:"up_to"`
	Lowered map[string]int64 `json:"lowered,omitempty"` // version of the last reduction, by organisation; only those above Since of the request
	Seen    map[string]int64 `json:"seen,omitempty"`    // version under which the account was seen within its limit, by organisation; likewise
}

// FetchHistory asks one other host, chosen at random each time, for the changes of budget limits
// that it has seen since a version.
func (f *Fleet) FetchHistory(ctx context.Context, since int64) (h prepaid.LimitHistory, ok bool) {
	addresses := f.addresses()
	f.mu.Lock()
	addresses = f.silentLast(addresses)
	f.mu.Unlock()
	if len(addresses) == 0 {
		return h, false
	}
	var response historyResponse
	err := f.client.callWithTimeout(ctx, addresses[0], pathHistory, historyRequest{Since: since}, &response)
	f.recordCallResult(addresses[0], err)
	return prepaid.LimitHistory{Since: response.Since, UpTo: response.UpTo, Lowered: response.Lowered, Seen: response.Seen}, err == nil
}

func (f *Fleet) serveHistory(w http.ResponseWriter, r *http.Request) {
	var request historyRequest
	if !readJSON(w, r, &request) {
		return
	}
	h := f.opts.History()
	response := historyResponse{Since: h.Since, UpTo: h.UpTo, Lowered: above(h.Lowered, request.Since), Seen: above(h.Seen, request.Since)}
	writeJSON(w, response)
}

// above returns the entries whose version is above since.
func above(versions map[string]int64, since int64) map[string]int64 {
	newer := map[string]int64{}
	for organisation, version := range versions {
		if version > since {
			newer[organisation] = version
		}
	}
	return newer
}
