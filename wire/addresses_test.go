package wire

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestAddressesAreExchanged starts two control hosts that can't reach the address
// they have for each other, and then gives one of them the right address several
// times, as reloads of the settings file do: each address must be dialed by one
// goroutine only.
func TestAddressesAreExchanged(t *testing.T) {
	const unreachable = types.Address("127.0.0.1:1")
	a, b := newTestHost(t, "a", "k", unreachable), newTestHost(t, "b", "k", unreachable)
	got := sendUntilReceived(t, b.messages, func() {
		a.mesh.AddAddresses([]types.Address{b.addr, a.addr})
		a.mesh.Send(proto.Message{From: "a", To: "b"})
	})
	assert.Equal(t, got.From, types.HostID("a"))
	got = sendUntilReceived(t, a.messages, func() { b.mesh.Send(proto.Message{From: "b", To: "a"}) })
	assert.Equal(t, got.From, types.HostID("b"))
	a.mesh.dialer.mu.Lock()
	defer a.mesh.dialer.mu.Unlock()
	assert.Equal(t, len(a.mesh.dialer.dialed), 3, "each address is dialed by one goroutine")
}
