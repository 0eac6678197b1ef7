package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"maststage.dev/api/maststage/v1/maststagev1connect"
	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/settings"
	"maststage.dev/daemon/store"
	"maststage.dev/lib/errkind"
)

// forwarder relays two parts of a response and then ends as a test wants.
type forwarder func(ctx context.Context, send func(*peerv1.ExecuteResponse) error) error

func (f forwarder) Forward(ctx context.Context, req *peerv1.ExecuteRequest, _ <-chan struct{}, send func(*peerv1.ExecuteResponse) error) error {
	for i := range uint32(2) {
		if err := send(&peerv1.ExecuteResponse{RequestId: req.RequestId, Index: i, Data: []byte("part")}); err != nil {
			return err
		}
	}
	return f(ctx, send)
}

// newStore returns a store with an organisation whose key is "key".
func newStore(t *testing.T) *store.Store {
	s := store.New()
	text := fmt.Sprintf("[organisation o]\nkey_sha256 = %x\nbudget = b\n[budget b]\norganisation = o\ntokens = 1000\n", sha256.Sum256([]byte("key")))
	for i, r := range []*peerv1.Record{
		{Kind: &peerv1.Record_Join{Join: &peerv1.Join{Host: "h"}}},
		{Kind: &peerv1.Record_Publish{Publish: &peerv1.Publish{Text: text}}},
	} {
		data, err := proto.Marshal(&peerv1.Batch{Incarnation: "h", Seq: uint64(i + 1), Records: []*peerv1.Record{r}})
		is.New(t).NoErr(err)
		s.Apply(uint64(i+1), data)
	}
	return s
}

// Connect's framing of messages: a byte of flags and four of the length.
const (
	prefixBytes = 5
	endOfStream = 2 // flag of the last message, which says how the stream ended
)

// message frames a message.
func message(text string) string {
	return string(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(text)))) + text
}

// streamEnd reads a stream as its caller does: whether a part says that the response is whole, and whether the last message
// says that the stream ended without an error.
func streamEnd(body io.Reader) (whole, ended bool) {
	for {
		prefix := make([]byte, prefixBytes)
		if _, err := io.ReadFull(body, prefix); err != nil {
			return whole, false
		}
		data := make([]byte, binary.BigEndian.Uint32(prefix[1:]))
		if _, err := io.ReadFull(body, data); err != nil {
			return whole, false
		}
		var m struct{ End, Error json.RawMessage }
		if err := json.Unmarshal(data, &m); err != nil {
			return whole, false
		}
		if prefix[0]&endOfStream != 0 {
			return whole, m.Error == nil
		}
		whole = whole || m.End != nil
	}
}

// exchange makes a call and returns all bytes that its caller gets. If leaves is set the caller closes its sending side while the
// call is under way.
func exchange(t *testing.T, f forwarder, protocol, call string, leaves bool) string {
	is := is.New(t)
	_, handler := maststagev1connect.NewCallerHandler(New(settings.Requests{MaxInput: 100}, newStore(t), f, nil))
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = stdlog.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	mediaType, body := "application/json", `{"request":{"requestId":"r1","class":"c"}}`
	if call == maststagev1connect.CallerRunProcedure {
		mediaType, body = "application/connect+json", message(`{"requestId":"r1","class":"c"}`)
	}
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nConnection: close\r\nContent-Type: %s\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", call, protocol, mediaType, len(body), body)
	is.NoErr(err)
	if leaves {
		time.Sleep(50 * time.Millisecond)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
	}
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	data, err := io.ReadAll(conn)
	is.NoErr(err)
	return string(data)
}

// Guards against a response that its caller takes for whole though it has no end: the caller stopped sending and reads on, the
// forwarding failed, or the handler panicked.
func TestResponseWithoutAnEndIsNotTakenForWhole(t *testing.T) {
	for name, c := range map[string]struct {
		forward forwarder
		leaves  bool // see exchange
		whole   bool
	}{
		"caller stopped sending": {func(ctx context.Context, _ func(*peerv1.ExecuteResponse) error) error {
			<-ctx.Done()
			return ctx.Err()
		}, true, false},
		"forwarding failed": {func(context.Context, func(*peerv1.ExecuteResponse) error) error {
			return errkind.New(errkind.Unknown, "lost")
		}, false, false},
		"panic": {func(context.Context, func(*peerv1.ExecuteResponse) error) error { panic("test") }, false, false},
		"whole": {func(_ context.Context, send func(*peerv1.ExecuteResponse) error) error {
			return send(&peerv1.ExecuteResponse{Index: 2, End: true})
		}, false, true},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, call := range []string{maststagev1connect.CallerRunProcedure, maststagev1connect.CallerCallProcedure} {
				t.Run(strings.Join([]string{name, protocol, call}, ", "), func(t *testing.T) {
					is := is.New(t)
					data := exchange(t, c.forward, protocol, call, c.leaves)
					t.Logf("%q", data)
					resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(data)), nil)
					if err != nil {
						is.True(!c.whole)
						return
					}
					if call == maststagev1connect.CallerCallProcedure {
						is.Equal(resp.StatusCode == http.StatusOK, c.whole)
						return
					}
					whole, ended := streamEnd(resp.Body)
					is.Equal(whole, c.whole)
					is.Equal(ended, c.whole)
				})
			}
		}
	}
}
