package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestDigestDistinguishesContents(t *testing.T) {
	is := is.New(t)
	same := Content{Organisation: "o", Method: "POST", Host: "a.example", URI: "/r/x?q", Body: []byte("body")}
	is.Equal(same.Digest(), Content{Organisation: "o", Method: "POST", Host: "a.example", URI: "/r/x?q", Body: []byte("body")}.Digest())
	for _, other := range []Content{
		{Organisation: "p", Method: "POST", Host: "a.example", URI: "/r/x?q", Body: []byte("body")},
		{Organisation: "o", Method: "PUT", Host: "a.example", URI: "/r/x?q", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "b.example", URI: "/r/x?q", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "a.example", URI: "/r/x?p", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "a.example", URI: "/r/x?q", Body: []byte("bodz")},
		{Organisation: "oP", Method: "OST", Host: "a.example", URI: "/r/x?q", Body: []byte("body")},
	} {
		is.True(other.Digest() != same.Digest())
	}
}

// Hosts of different versions exchange digests and the log stores them, so their values must not change.
func TestDigestIsStable(t *testing.T) {
	is := is.New(t)
	d := Content{Organisation: "o", Method: "POST", Host: "a.example", URI: "/r/x", Body: []byte("body")}.Digest()
	is.Equal(d.String(), "666c3eb3cb11a68b19da1dc6db00be3d")
	back, err := ParseDigest(d.String())
	is.NoErr(err)
	is.Equal(back, d)
	for _, bad := range []string{"", "00", d.String() + "0", "zz" + d.String()[2:]} {
		_, err := ParseDigest(bad)
		is.Equal(err, ErrDigest)
	}
}
