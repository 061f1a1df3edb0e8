package wire

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRedialIsQuickWithoutAnyConnection covers a process that starts before the
// control hosts do.
func TestRedialIsQuickWithoutAnyConnection(t *testing.T) {
	d := newDialer(Options{}, RoleProxy)
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		assert.Assert(t, d.pause(redialMax, random) <= redialAlone)
	}
	d.live.Add(1)
	for range 20 {
		assert.Assert(t, d.pause(redialMax, random) >= redialMax/2, "a host that is down is dialed too often")
	}
}
