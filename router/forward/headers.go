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

// Headers names the headers that callers, hosts and targets use among
// themselves; the names are the platform's.
type Headers struct {
	RequestID    string // of one try of a caller
	Deadline     string // milliseconds that the caller will wait
	Key          string // the caller's key
	Organisation string // the organisation, set by the host
	ExpectTarget string // the only target that may run the request
	Usage        string // tokens of the prompt, and the most out
	PromptParts  string // ID:TOKENS,... in order; the last is the request's own
	LastEventID  string // the stream goes on behind this event
	Priority     string // 0 (first) to 9
	Stamp        string // a target's signature of its answer
	NotRun       string // the target did not run the request
	Limit        string // requests a second that a target takes from all hosts together
	RetryAfter   string // seconds
	// Internal lists headers that only hosts may send.
	Internal []string
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// canonical gives the spelling that net/http uses for keys.
func (h Headers) canonical() Headers {
	for _, name := range []*string{
		&h.RequestID, &h.Deadline, &h.Key, &h.Organisation, &h.ExpectTarget, &h.Usage, &h.PromptParts,
		&h.LastEventID, &h.Priority, &h.Stamp, &h.NotRun, &h.Limit, &h.RetryAfter,
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

// own lists the headers that a host sets or takes away itself.
func (h Headers) own() map[string]bool {
	own := map[string]bool{"Content-Length": true, "Host": true, "Expect": true}
	for _, name := range slices.Concat(hopByHop, h.Internal, []string{
		h.Deadline, h.Key, h.Organisation, h.ExpectTarget, h.LastEventID, h.Priority,
	}) {
		own[name] = true
	}
	return own
}

// kept lists headers that a caller can't take away by naming them in the header
// Connection.
func (h Headers) kept() map[string]bool {
	return map[string]bool{h.RequestID: true, h.Usage: true, h.PromptParts: true}
}

// nominated lists the headers that a message names in its header Connection.
func nominated(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// commonHead renders what each try of a request has in common: the request line
// and the headers that are passed on.
func (h *Handler) commonHead(r *http.Request, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.RequestURI)
	b.WriteString(" HTTP/1.1\r\n")
	writeHeader(&b, "Host", r.Host)
	dropped := nominated(r.Header)
	for name, values := range r.Header {
		if h.own[name] || slices.Contains(dropped, name) && !h.kept[name] {
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

// tryHead completes the head for one try.
func (h *Handler) tryHead(q *request, targetID string, left time.Duration) []byte {
	b := bytes.NewBuffer(make([]byte, 0, len(q.head)+headRoom))
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

// headRoom is space for the headers that a host adds, in bytes.
const headRoom = 256

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// copyHead passes a target's status and headers on to the caller.
func (h *Handler) copyHead(w http.ResponseWriter, resp *http.Response) {
	out := w.Header()
	dropped := nominated(resp.Header)
	for name, values := range resp.Header {
		if slices.Contains(hopByHop, name) || slices.Contains(dropped, name) && name != h.names.Stamp && name != h.names.RequestID {
			continue
		}
		out[name] = values
	}
	if _, has := out["Content-Type"]; !has {
		out["Content-Type"] = nil // else net/http guesses one
	}
	if _, has := out["Date"]; !has {
		out["Date"] = nil
	}
}

// usage is the size of a request at a model engine, in tokens.
type usage struct {
	in  int64
	out int64 // at most
}

// parseUsage reads "IN,OUT".
func parseUsage(text string) (usage, bool) {
	first, second, ok := strings.Cut(text, ",")
	if !ok {
		return usage{}, false
	}
	in, err := strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	if err != nil || in < 0 {
		return usage{}, false
	}
	out, err := strconv.ParseInt(strings.TrimSpace(second), 10, 64)
	if err != nil || out < 0 {
		return usage{}, false
	}
	return usage{in: in, out: out}, true
}

// sharedParts is the prefix of the prompt that other requests share: all parts
// but the last.
func sharedParts(parts string) string {
	i := strings.LastIndexByte(parts, ',')
	if i < 0 {
		return ""
	}
	return parts[:i]
}
