package node

import (
	"errors"
	"net/http"
)

// errUnframed means that nothing but the end of its connection shows the end of a response. A broken one looks the same, and
// a part of a message may decode.
var errUnframed = errors.New("response has neither a length nor chunks")

// framedTransport is an http.RoundTripper that returns an error for unframed responses. Servers of RPCs send none.
type framedTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t framedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = resp.Body.Close()
		return nil, errUnframed
	}
	return resp, nil
}
