// Package key computes the digests under which the system knows the keys of
// organisations.
package key

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Digest returns the digest of a key, or the zero digest if the caller presented none.
func Digest(key string) types.KeyDigest {
	if key == "" {
		return types.KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// Digests returns the digests of an organisation's keys in the order that
// types.Organisation requires.
func Digests(keys []string) []types.KeyDigest {
	out := make([]types.KeyDigest, 0, len(keys))
	for _, k := range keys {
		out = append(out, Digest(k))
	}
	slices.SortFunc(out, func(a, b types.KeyDigest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
