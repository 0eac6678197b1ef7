package forward

import (
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Headers holds the names of the headers that callers, hosts and targets
// exchange; the platform defines them.
type Headers struct {
	RequestID    string // of one attempt by a caller
	Deadline     string // time that the caller will wait, in milliseconds
	Key          string // the caller's key
	Organisation string // the organisation, set by the host
	ExpectTarget string // the only target that may run the request
	Usage        string // tokens of the prompt and maximum output tokens
	PromptParts  string // ID:TOKENS,... in order; the last part is unique to the request
	LastEventID  string // the stream resumes after this event
	Resumes      string // names the attempt that brought the first event of the stream that a caller resumes
	Priority     string // 0 (most urgent) to 9
	Stamp        string // a target's signature of its response
	NotRun       string // the target did not run the request
	Limit        string // requests a second that a target accepts from all hosts together
	Leaving      string // leavingValue if the target is about to exit
	RetryAfter   string // seconds
	// Internal lists headers that only hosts may send.
	Internal []string
}

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// canonical returns the names as net/http spells header keys.
func (h Headers) canonical() Headers {
	for _, name := range []*string{
		&h.RequestID, &h.Deadline, &h.Key, &h.Organisation, &h.ExpectTarget, &h.Usage, &h.PromptParts,
		&h.LastEventID, &h.Resumes, &h.Priority, &h.Stamp, &h.NotRun, &h.Limit, &h.Leaving, &h.RetryAfter,
	} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	internal := make([]string, len(h.Internal))
	for i, name := range h.Internal {
		internal[i] = textproto.CanonicalMIMEHeaderKey(name)
	}
	h.Internal = internal
	return h
}

// managed lists the headers that a host sets or removes itself.
func (h Headers) managed() map[string]bool {
	managed := map[string]bool{"Content-Length": true, "Host": true, "Expect": true}
	for _, name := range slices.Concat(hopByHop, h.Internal, []string{
		h.Deadline, h.Key, h.Organisation, h.ExpectTarget, h.LastEventID, h.Priority,
	}) {
		managed[name] = true
	}
	return managed
}

// protected lists headers that a caller can't have removed by naming them in its
// Connection header.
func (h Headers) protected() map[string]bool {
	return map[string]bool{h.RequestID: true, h.Usage: true, h.PromptParts: true}
}

// connectionOptions lists the headers that a message names in its Connection header.
func connectionOptions(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// commonHead renders the part of the head that is the same in all attempts: the request
// line and the forwarded headers.
func (h *Handler) commonHead(r *http.Request, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.RequestURI)
	b.WriteString(" HTTP/1.1\r\n")
	writeHeader(&b, "Host", r.Host)
	dropped := connectionOptions(r.Header)
	for name, values := range r.Header {
		if h.managed[name] || slices.Contains(dropped, name) && !h.protected[name] {
			continue
		}
		for _, value := range values {
			writeHeader(&b, name, value)
		}
	}
	if len(body) > 0 || r.ContentLength >= 0 && len(r.Header["Content-Length"]) > 0 || len(r.TransferEncoding) > 0 {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(body)))
	}
	return b.Bytes()
}

// attemptHead renders the complete head for one attempt.
func (h *Handler) attemptHead(q *request, targetID string, left time.Duration) []byte {
	b := bytes.NewBuffer(make([]byte, 0, len(q.head)+addedHeaderBytes))
	b.Write(q.head)
	writeHeader(b, h.names.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	writeHeader(b, h.names.ExpectTarget, targetID)
	if q.organisation != nil {
		writeHeader(b, h.names.Organisation, q.organisation.Name)
	}
	if q.engine != nil {
		writeHeader(b, h.names.Priority, strconv.Itoa(q.config.RequestPriority(q.organisation, q.route)))
	}
	if id := q.lastEventID(); id != "" {
		writeHeader(b, h.names.LastEventID, id)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// addedHeaderBytes is the space allocated for the headers that a host adds.
const addedHeaderBytes = 256

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// copyHead copies a target's headers to the caller's response, except hop-by-hop ones.
func (h *Handler) copyHead(w http.ResponseWriter, resp *http.Response) {
	out := w.Header()
	dropped := connectionOptions(resp.Header)
	for name, values := range resp.Header {
		if slices.Contains(hopByHop, name) || slices.Contains(dropped, name) && name != h.names.Stamp && name != h.names.RequestID {
			continue
		}
		out[name] = values
	}
	if _, has := out["Content-Type"]; !has {
		out["Content-Type"] = nil // else net/http would guess one
	}
	if _, has := out["Date"]; !has {
		out["Date"] = nil
	}
}

// usage is the token usage of a request.
type usage struct {
	in  int64
	out int64 // maximum
}

// parseUsage reads "IN,OUT".
func parseUsage(text string) (usage, bool) {
	first, second, _ := strings.Cut(text, ",")
	in, okIn := parseTokens(first)
	out, okOut := parseTokens(second)
	if !okIn || !okOut {
		return usage{}, false
	}
	return usage{in: in, out: out}, true
}

// maxTokens is the largest number of tokens that a request may name. Sums of such numbers don't overflow.
const maxTokens = 1 << 50

// parseTokens parses a number of tokens.
func parseTokens(text string) (n int64, ok bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	return n, err == nil && n >= 0 && n <= maxTokens
}

// sharedPrefix returns the parts of the prompt that other requests may share: all
// but the last.
func sharedPrefix(parts string) string {
	i := strings.LastIndexByte(parts, ',')
	if i < 0 {
		return ""
	}
	return parts[:i]
}

// sharedPartIDs lists the ids of the parts of the prompt that other requests may share.
func sharedPartIDs(parts string) (ids []string) {
	prefix := sharedPrefix(parts)
	if prefix == "" {
		return nil
	}
	for part := range strings.SplitSeq(prefix, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		ids = append(ids, id)
	}
	return ids
}

// sharedTokens counts the tokens of the parts of the prompt that other requests may share. Parts are written
// ID:TOKENS; one without a count has none.
func sharedTokens(parts string) (tokens float64) {
	for part := range strings.SplitSeq(sharedPrefix(parts), ",") {
		_, count, _ := strings.Cut(part, ":")
		if n, err := strconv.ParseUint(count, 10, 32); err == nil {
			tokens += float64(n)
		}
	}
	return tokens
}
