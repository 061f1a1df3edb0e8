package wire

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// testTimeout is how long a test waits for a frame.
const testTimeout = 10 * time.Second

// testHost is a control host's mesh with its server.
type testHost struct {
	mesh     *Mesh
	addr     types.Address
	messages chan proto.Message
	requests chan proto.LeaseRequest
}

// newTestHost starts a control host that dials the given addresses.
func newTestHost(t *testing.T, host types.HostID, key string, addrs ...types.Address) *testHost {
	t.Helper()
	s := &testHost{
		mesh:     NewMesh(Options{Host: host, Key: key, Addresses: addrs}),
		messages: make(chan proto.Message, 100),
		requests: make(chan proto.LeaseRequest, 100),
	}
	server := httptest.NewServer(NewServer(s.mesh))
	s.addr = types.Address(server.Listener.Addr().String())
	s.mesh.Start(Handlers{
		Message:      func(m proto.Message) { s.messages <- m },
		LeaseRequest: func(r proto.LeaseRequest) { s.requests <- r },
	})
	t.Cleanup(func() { s.mesh.Close(); server.Close() })
	return s
}

// sendUntilReceived repeats send until a message is received: messages may be
// dropped, and every sender of the system repeats them.
func sendUntilReceived[T any](t *testing.T, from <-chan T, send func()) T {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		send()
		select {
		case v := <-from:
			return v
		case <-time.After(20 * time.Millisecond):
		case <-timeout:
			t.Fatalf("no message was received within %v", testTimeout)
		}
	}
}

func TestMeshSendsBothWaysOnOneConnection(t *testing.T) {
	a := newTestHost(t, "a", "k")
	b := newTestHost(t, "b", "k", a.addr)
	m := sendUntilReceived(t, a.messages, func() { b.mesh.Send(proto.Message{To: "a", From: "b", Term: 7}) })
	assert.Equal(t, m.Term, proto.ControlTerm(7))
	m = sendUntilReceived(t, b.messages, func() { a.mesh.Send(proto.Message{From: "a", Term: 8}) }) // to all
	assert.Equal(t, m.Term, proto.ControlTerm(8))
}

func TestLinkGetsGrantOnItsConnection(t *testing.T) {
	a := newTestHost(t, "a", "k")
	grants := make(chan types.HostID, 100)
	l := NewLink(Options{Host: "p", Key: "k", Addresses: []types.Address{a.addr}})
	l.Start(func(from types.HostID, g proto.LeaseGrant) { grants <- from })
	t.Cleanup(l.Close)
	r := sendUntilReceived(t, a.requests, func() { l.Request("", proto.LeaseRequest{Proxy: "p", Seq: 1}) })
	assert.Equal(t, r.Seq, uint64(1))
	from := sendUntilReceived(t, grants, func() { a.mesh.Grant(proto.LeaseGrant{Proxy: "p"}) })
	assert.Equal(t, from, types.HostID("a"))
}
