// Package identity generates the identities of the system's processes.
package identity

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

// founderSuffix takes the place of the random part in the identity of a founder.
const founderSuffix = "founder"

// Founder returns the identity of one of the control hosts that start a cluster together.
// Each of them derives the identities of all from their addresses. It may be used only
// by a host that has never run before: one that lost its data gets a random identity.
func Founder(address types.Address) types.HostID {
	return types.HostID(address) + types.ProcessSeparator + founderSuffix
}

// suffixBytes is the length of the random part of an identity before hex encoding.
const suffixBytes = 6

// New returns a unique identity for a process with the given configured name. A
// control host stores its identity in its data folder. A proxy stores nothing and
// generates a new one at each start, so that control never attributes a
// confirmation of the new process to an earlier one that is still running.
func New(name types.HostID) (types.HostID, error) {
	b := make([]byte, suffixBytes)
	if _, err := rand.Read(b); err != nil {
		return "", trace.Wrap(err, "reading random bytes")
	}
	return name + types.ProcessSeparator + types.HostID(hex.EncodeToString(b)), nil
}
