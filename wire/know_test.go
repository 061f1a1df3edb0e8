package wire

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestAddressesAreExchanged starts two control hosts whose only address of the
// other leads nowhere, and then gives one of them the right address, again and
// again as a settings file that is read again does.
func TestAddressesAreExchanged(t *testing.T) {
	const nowhere = types.Address("127.0.0.1:1")
	a, b := newStation(t, "a", "k", nowhere), newStation(t, "b", "k", nowhere)
	got := await(t, b.messages, func() {
		a.mesh.Know([]types.Address{b.addr, a.addr})
		a.mesh.Send(proto.Message{From: "a", To: "b"})
	})
	assert.Equal(t, got.From, types.HostID("a"))
	got = await(t, a.messages, func() { b.mesh.Send(proto.Message{From: "b", To: "a"}) })
	assert.Equal(t, got.From, types.HostID("b"))
	a.mesh.dialer.mu.Lock()
	defer a.mesh.dialer.mu.Unlock()
	assert.Equal(t, len(a.mesh.dialer.known), 3, "each address is dialed by one goroutine")
}
