package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
)

// Errors of CheckHead.
var (
	errStatus    = errors.New("status is not a number from 100 to 999")
	errFieldName = errors.New("name of a field is not a token")
)

// ReadResponse reads a response like http.ReadResponse, and returns an error for a head that CheckHead rejects.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// CheckHead returns an error for the head of a response that net/http accepts and HTTP does not: other implementations may
// read another framing from it, or another number of fields.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > 999 {
		return fmt.Errorf("%w: %.40q", errStatus, resp.Status)
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error if the name of a field is not a token.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return fmt.Errorf("%w: %.100q", errFieldName, name)
		}
	}
	return nil
}

// isToken reports whether text is a token of HTTP.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
