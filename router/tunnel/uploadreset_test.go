package tunnel

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a tunnel that ends in order though the target reset its connection: the write of a long upload takes the
// error, and the read sees an end.
func TestResetUnderAnUploadIsNoEndOfATunnel(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){
		"reset":                 func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"close with bytes left": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "part")
				time.Sleep(5 * time.Millisecond)
				end(c)
				_ = c.Close()
			})
			f.addHost(f.options())
			d := f.dialer()
			const tunnels = 30
			whole, arrived := 0, 0
			for range tunnels {
				conn := f.dial(d)
				go func() {
					upload := make([]byte, 64<<10)
					for range 64 {
						if _, err := conn.Write(upload); err != nil {
							return
						}
					}
				}()
				got, err := io.ReadAll(conn)
				if err == nil {
					whole++
				}
				if string(got) == "part" {
					arrived++
				}
				f.is.NoErr(conn.Close())
			}
			if whole > 0 {
				t.Errorf("%d of %d tunnels ended in order", whole, tunnels)
			}
			if arrived*10 < tunnels*9 {
				t.Errorf("%d of %d parts arrived", arrived, tunnels)
			}
		})
	}
}
