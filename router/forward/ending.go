package forward

import "net/http"

// End says how the response to a caller ended.
type End string

const (
	EndWhole   End = "whole"   // a target's response, with the end that its framing has
	EndOwn     End = "own"     // the host's own final response
	EndAborted End = "aborted" // the caller's connection was closed before the end of the response
)

// Framing says what shows the end of a target's response.
type Framing string

const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	FramingNone   Framing = "none" // it ends with its connection, as a broken one may
)

// framingOf returns the framing of a target's response.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunks
	case resp.ContentLength >= 0, resp.Request.Method == http.MethodHead:
		return FramingLength
	}
	return FramingNone
}

// endOf returns how the response of a request of a kind ends.
func endOf(kind Kind) End {
	switch kind {
	case OK, CallerGone:
		return EndWhole
	case CutOff:
		return EndAborted
	}
	return EndOwn
}
