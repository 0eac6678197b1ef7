package node

import (
	"context"
	"crypto/rand"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"connectrpc.com/connect"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/daemon/settings"
	"maststage.dev/standin/logd"
	"maststage.dev/standin/thinlink"
)

// A host that lags reads up to 500 log entries at a time; over a link of 150 KB/s, 400 KB take
// 2.7 s. When each read was cut off after 1 s, though bytes kept arriving, the next one started
// at the same entry, and the host never caught up.
func TestLaggingHostCatchesUpOverSlowLink(t *testing.T) {
	const entries, entryBytes, linkBytes = 200, 2000, 150e3
	is := is.New(t)
	l := logd.New(10_000, 1000)
	for range entries {
		data := make([]byte, entryBytes)
		_, _ = rand.Read(data)
		_, err := l.Append(context.Background(), connect.NewRequest(&platformv1.AppendRequest{Data: data}))
		is.NoErr(err)
	}
	_, handler := platformv1connect.NewLogHandler(l)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	n := &Node{cfg: &settings.Settings{}}
	n.cfg.Platform.Timeout = time.Second
	n.cfg.Platform.Log = thinlink.New(linkBytes).To(t, server.Listener.Addr().String())
	p := newPlatform(n)
	r, err := p.Read(context.Background(), 1, 500, 0)
	is.NoErr(err)
	is.Equal(len(r.Entries), entries)
}
