package fleet

import (
	"context"
	"errors"
	"net/http"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/prepaid"
)

// pathWitness tells another host of a record of an account.
const pathWitness = "/fleet/account"

// maxWitnesses bounds the hosts that are told of a record until one knows it.
const maxWitnesses = 3

type witnessRequest struct {
	Organisation string            `json:"organisation"`
	Account      prepaid.Account   `json:"account"`
	At           eventlog.Position `json:"at"`
}

type witnessResponse struct {
	Known bool `json:"known"`
}

// Witness tells another host, of another failure domain if there is one, of a record of an account that this host wrote.
// It reports whether one knows the record. A host of an earlier build knows no such call and counts as one that does: it
// keeps no tokens back either.
func (f *Fleet) Witness(ctx context.Context, organisation string, record prepaid.Account, at eventlog.Position) bool {
	for _, address := range f.witnesses() {
		var response witnessResponse
		err := f.client.callWithTimeout(ctx, address, pathWitness, witnessRequest{Organisation: organisation, Account: record, At: at}, &response)
		f.recordCallResult(address, err)
		var status *statusError
		if response.Known || errors.As(err, &status) {
			return true
		}
	}
	return false
}

// witnesses lists the addresses of hosts to tell of a record, those of other failure domains first.
func (f *Fleet) witnesses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others, same []string
	for name, peer := range f.hosts {
		switch {
		case !f.isActive(name, peer):
		case peer.host.Domain != f.opts.Self.Domain:
			others = append(others, peer.host.Address)
		default:
			same = append(same, peer.host.Address)
		}
	}
	list := f.silentLast(append(shuffled(others), shuffled(same)...))
	return list[:min(len(list), maxWitnesses)]
}

func (f *Fleet) serveWitness(w http.ResponseWriter, r *http.Request) {
	var request witnessRequest
	if !readJSON(w, r, &request) {
		return
	}
	known := f.opts.Witness != nil && f.opts.Witness(request.Organisation, request.Account, request.At)
	writeJSON(w, witnessResponse{Known: known})
}
