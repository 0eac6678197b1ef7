// Package streamversion remembers at which software version of its targets each stream began, and tells other hosts.
// What targets of two versions generate does not fit together, and targets don't check it. A caller may take a stream up at
// any host, also after the one that carried it is gone.
package streamversion

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// keyBytes is the length of a Key: long enough that no caller finds an id with the key of another caller's stream.
const keyBytes = 16

// Key identifies a stream of an organisation: the attempt of its caller that brought the first event.
type Key [keyBytes]byte

// KeyOf returns the key of the stream whose first event an attempt of an organisation's caller brought.
func KeyOf(organisation, attempt string) Key {
	sum := sha256.Sum256([]byte(organisation + "\x00" + attempt))
	return Key(sum[:keyBytes])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// errKey means that a text is not a key.
var errKey = errors.New("streamversion: text is not a key")

// MarshalText returns the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses what MarshalText returns.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keyBytes) {
		return errKey
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return errKey
	}
	return nil
}
