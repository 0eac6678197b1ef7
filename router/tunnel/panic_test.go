package tunnel

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"maststage.dev/standin/until"
)

// Guards against a tunnel whose connections stay open after a panic at the host that carries it: the other host would wait, and
// the target's run go on.
func TestPanicBreaksTheTunnel(t *testing.T) {
	for name, panicIn := range map[string]func(*ServerOptions){
		"as it opens":        func(o *ServerOptions) { o.OnOpen = func(string) { panic(http.ErrAbortHandler) } },
		"as a piece arrives": func(o *ServerOptions) { o.Copied = func(int) { panic(http.ErrAbortHandler) } },
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			f := newFleet(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "response")
				_, _ = io.Copy(io.Discard, c)
				close(closed)
			})
			opts := f.options()
			panicIn(&opts)
			server := f.addHost(opts)
			conn, err := f.dialer().Dial(t.Context(), "s", "t1")
			if err == nil {
				defer conn.Close()
				f.is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
				_, err = io.ReadAll(conn)
			}
			f.is.True(err != nil) // it has no orderly end
			f.is.True(!errors.Is(err, os.ErrDeadlineExceeded))
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Fatal("the target's connection is still open")
			}
			until.True(t, "the tunnel is gone", func() bool { return server.Open() == 0 })
		})
	}
}
