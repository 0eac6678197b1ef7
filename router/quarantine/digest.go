// Package quarantine identifies requests that crash the targets that run them, so that hosts stop
// sending them. A request is identified by its content, as its id differs at each attempt. A target
// "exits under a request" if its process exits while it runs that request.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
)

// digestBytes is the length of a Digest. It is long enough that no caller can find a request with the
// digest of another caller's request: even a collision between any two of its own takes some 2^64
// tries, and the organisation is part of the digest.
const digestBytes = 16

// Digest identifies all requests with the same content for the same organisation. It is the same at
// all hosts and in all their incarnations.
type Digest [digestBytes]byte

// Content is what makes two requests equal.
type Content struct {
	Organisation string // empty: the route requires none
	Method       string
	Host         string
	URI          string // path and query as received
	Body         []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{c.Organisation, c.Method, c.Host, c.URI} {
		writeField(h, []byte(field))
	}
	writeField(h, c.Body)
	return Digest(h.Sum(nil)[:digestBytes])
}

// writeField adds a field, prefixed with its length, so that different contents can't have the same encoding.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:]) // a hash never returns an error
	h.Write(field)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ErrDigest means that a text is not a digest.
var ErrDigest = errors.New("quarantine: text is not a digest")

// ParseDigest parses what String returns.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if len(text) != hex.EncodedLen(digestBytes) {
		return d, ErrDigest
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return d, ErrDigest
	}
	return d, nil
}
