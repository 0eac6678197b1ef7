package fleet

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response of another host that counts as whole though the connection ended before its end, which alone ends a
// response of HTTP/1.0.
func TestCutResponseOfAnotherHostIsAnError(t *testing.T) {
	const whole = `{"tokens":5,"keeper":true}`
	for n := range len(whole) + 1 {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n"+whole[:n])
		}()
		var response lendResponse
		err = newClient(time.Second, nil, 1).callWithTimeout(context.Background(), listener.Addr().String(), pathLend, lendRequest{}, &response)
		is.Equal(err == nil, n == len(whole))
		is.NoErr(listener.Close())
	}
}

// Guards against a call that takes effect though its request is cut: tokens would move that nobody asked for.
func TestCutRequestOfAnotherHostHasNoEffect(t *testing.T) {
	const whole = `{"loans":["l1","l2"]}`
	for n := range len(whole) + 1 {
		is := is.New(t)
		recalled := 0
		f := New(Options{Recall: func(string) int64 { recalled++; return 1 }})
		server := httptest.NewServer(f.Handler())
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST "+pathRecall+" HTTP/1.0\r\nHost: h\r\nContent-Length: 21\r\n\r\n"+whole[:n])
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
		data, err := io.ReadAll(conn)
		is.NoErr(err)
		server.Close() // waits for the handler
		is.Equal(strings.HasPrefix(string(data), "HTTP/1.0 200 "), n == len(whole))
		is.Equal(recalled, map[bool]int{true: 2}[n == len(whole)])
		is.NoErr(conn.Close())
	}
}
