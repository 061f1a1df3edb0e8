// Package identity makes the identities of the system's processes.
package identity

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

// suffixBytes is the length of the random part of an identity.
const suffixBytes = 6

// New returns a fresh identity for a process of that configured name. A data
// folder keeps that of a control host; a proxy, which keeps nothing, takes a
// new one with each start, so that control never takes what a new process
// confirms for the word of an earlier one that still runs.
func New(name types.HostID) (types.HostID, error) {
	b := make([]byte, suffixBytes)
	if _, err := rand.Read(b); err != nil {
		return "", trace.Wrap(err, "reading random bytes")
	}
	return name + "." + types.HostID(hex.EncodeToString(b)), nil
}
