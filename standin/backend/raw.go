package backend

import (
	"io"
	"net"
	"time"
)

// Raw is a response that is sent as the bytes that it has, whatever they are.
type Raw struct {
	Text  string        // sent first
	Pause time.Duration // after Text, during which nothing else is done
	Rest  string        // sent then
	Close bool          // the connection is closed afterwards
	Reset bool          // it is reset afterwards
}

// send sends the response and reports whether the connection stays open.
func (r *Raw) send(c net.Conn) bool {
	_, err := io.WriteString(c, r.Text)
	time.Sleep(r.Pause)
	if err == nil && r.Rest != "" {
		_, err = io.WriteString(c, r.Rest)
	}
	if r.Reset {
		reset(c)
	}
	return err == nil && !r.Close && !r.Reset
}
