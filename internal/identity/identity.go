// Package identity generates the identities of the system's processes.
package identity

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

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
