package httpconn

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against heads that net/http reads and HTTP forbids, such as a length under a name with a blank, which others obey.
func TestHeadsThatHTTPForbidsAreErrors(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		ok   bool
	}{
		"sound":                       {"HTTP/1.1 200 OK\r\nX-Id: a\r\nx_y~1: b\r\nContent-Length: 3\r\n", true},
		"status without words":        {"HTTP/1.1 200\r\nX-Id: a\r\n", true},
		"unknown status":              {"HTTP/1.1 799 Odd\r\nX-Id: a\r\n", true},
		"folded value":                {"HTTP/1.1 200 OK\r\nX-Id: a\r\n b\r\n", true},
		"status 000":                  {"HTTP/1.1 000 None\r\nX-Id: a\r\n", false},
		"status 099":                  {"HTTP/1.1 099 None\r\nX-Id: a\r\n", false},
		"status +20":                  {"HTTP/1.1 +20 None\r\nX-Id: a\r\n", false},
		"status 2x0":                  {"HTTP/1.1 2x0 None\r\nX-Id: a\r\n", false},
		"status 2000":                 {"HTTP/1.1 2000 None\r\nX-Id: a\r\n", false},
		"blank in a name":             {"HTTP/1.1 200 OK\r\nX Id: a\r\n", false},
		"blank behind a name":         {"HTTP/1.1 200 OK\r\nX-Id : a\r\n", false},
		"length under another name":   {"HTTP/1.1 200 OK\r\nContent Length: 3\r\n", false},
		"length before a blank":       {"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", false},
		"chunks before a blank":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", false},
		"control byte in a name":      {"HTTP/1.1 200 OK\r\nX\x01Id: a\r\n", false},
		"tab in a name":               {"HTTP/1.1 200 OK\r\nX\tId: a\r\n", false},
		"empty name":                  {"HTTP/1.1 200 OK\r\n: a\r\n", false},
		"byte over 127 in a name":     {"HTTP/1.1 200 OK\r\nX\xe9: a\r\n", false},
		"separator in a name":         {"HTTP/1.1 200 OK\r\nX(Id): a\r\n", false},
		"control byte in a value":     {"HTTP/1.1 200 OK\r\nX-Id: a\x00b\r\n", false},
		"carriage return in a value":  {"HTTP/1.1 200 OK\r\nX-Id: a\rb\r\n", false},
		"two lengths":                 {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n", false},
		"length and chunks, a length": {"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\nabc")), &http.Request{Method: http.MethodGet})
			is.Equal(err == nil, c.ok)
		})
	}
}

// Guards against a byte that counts as part of a token, or not, by mistake.
func TestTokensHaveTheBytesOfHTTP(t *testing.T) {
	is := is.New(t)
	const tokens = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for b := range 256 {
		is.Equal(isToken(string([]byte{byte(b)})), strings.IndexByte(tokens, byte(b)) >= 0)
	}
	is.True(!isToken(""))
	is.True(!isToken(fmt.Sprintf("a%cb", ' ')))
}
