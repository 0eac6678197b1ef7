// Package rendezvous ranks names for a key by rendezvous hashing (highest random weight):
// a key moves only when the name it ranks first is added or removed.
package rendezvous

import (
	"cmp"
	"slices"
)

// Score returns the weight of a name for a key.
func Score(key, name string) uint64 { return NewKey(key).Score(name) }

// Key is a key prepared for scoring many names.
type Key uint64

// NewKey prepares a key.
func NewKey(key string) Key {
	return Key(add(offset64, key) * prime64) // appends a zero byte
}

// Score returns the weight of a name for the key.
func (k Key) Score(name string) uint64 { return mix(add(uint64(k), name)) }

// The constants of 64-bit FNV-1a, written out since hash/fnv allocates.
const (
	offset64 = 14695981039346656037
	prime64  = 1099511628211
)

func add(sum uint64, s string) uint64 {
	for i := range len(s) {
		sum ^= uint64(s[i])
		sum *= prime64
	}
	return sum
}

// Rank returns items sorted by descending score for key; ties are ordered by name.
func Rank[T any](key string, items []T, name func(T) string) []T {
	type scored struct {
		score uint64
		name  string
		item  T
	}
	all := make([]scored, 0, len(items))
	for _, it := range items {
		n := name(it)
		all = append(all, scored{Score(key, n), n, it})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]T, len(all))
	for i, s := range all {
		ranked[i] = s.item
	}
	return ranked
}

// mix spreads the bits of an FNV sum (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
