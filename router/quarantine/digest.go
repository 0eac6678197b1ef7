// Package quarantine knows the requests that crash the targets that run them, so that
// hosts stop sending them. A request is known by what it asks for, not by its id, which is
// another one each time that it comes.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
)

// digestBytes is the length of a Digest. It is long enough that no caller finds a request
// of another one's digest: that takes some 2^64 tries for any two of his own, and the
// organisation is part of what is digested.
const digestBytes = 16

// Digest names all requests that ask the same of the same service for the same organisation.
// It is the same at all hosts and in all their incarnations.
type Digest [digestBytes]byte

// Content is what makes two requests the same.
type Content struct {
	Organisation string // empty: none is asked for
	Method       string
	Host         string
	URI          string // path and query as on the wire
	Body         []byte
}

// Digest digests the content.
func (c Content) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{c.Organisation, c.Method, c.Host, c.URI} {
		writeField(h, []byte(field))
	}
	writeField(h, c.Body)
	return Digest(h.Sum(nil)[:digestBytes])
}

// writeField adds a field with its length, so that no byte can move into the next one.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:]) // a hash never fails
	h.Write(field)
}

// String is the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ErrDigest means that a text is no digest.
var ErrDigest = errors.New("quarantine: not a digest")

// ParseDigest reads what String wrote.
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
