package node

import (
	"fmt"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/daemon/settings"
	"maststage.dev/standin/rawtarget"
)

// Guards against a response of a target without a length that broke off, and a part of which decodes as a whole message.
func TestUnframedResponseOfATargetIsAnError(t *testing.T) {
	whole, err := proto.Marshal(&platformv1.InvokeResponse{RequestId: "r1", Output: []byte("output"), Tokens: 7})
	if err != nil {
		t.Fatal(err)
	}
	part, err := proto.Marshal(&platformv1.InvokeResponse{RequestId: "r1"})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		lines string
		body  []byte
		ok    bool
	}{
		"length":          {fmt.Sprintf("Content-Length: %d\r\n", len(whole)), whole, true},
		"unframed, part":  {"", part, false},
		"unframed, whole": {"", whole, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := rawtarget.Start(func(*http.Request) rawtarget.Reply {
				return rawtarget.Reply{Text: "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n" + c.lines + "\r\n" + string(c.body), Ending: rawtarget.Close}
			})
			is.NoErr(err)
			defer raw.Close()
			client := platformv1connect.NewTargetClient(newHTTPClient(&settings.Settings{}), "http://"+raw.Address())
			_, err = client.Invoke(t.Context(), connect.NewRequest(&platformv1.InvokeRequest{RequestId: "r1"}))
			is.Equal(err == nil, c.ok)
		})
	}
}
