package wire

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRedialIsQuickWithoutAnyConnection guards against a process that starts before
// the control hosts and then redials them too slowly.
func TestRedialIsQuickWithoutAnyConnection(t *testing.T) {
	d := newDialer(Options{}, RoleProxy)
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		assert.Assert(t, d.redialDelay(maxRedialDelay, random) <= maxDisconnectedRedialDelay)
	}
	d.openConns.Add(1)
	for range 20 {
		assert.Assert(t, d.redialDelay(maxRedialDelay, random) >= maxRedialDelay/2, "a host that is down is dialed too often")
	}
}
