package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
)

// dialRaw opens a connection without any hello.
func dialRaw(t *testing.T, addr types.Address) (*websocket.Conn, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	ws, _, err := websocket.Dial(ctx, "ws://"+string(addr)+Path, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ws.CloseNow() })
	return ws, ctx
}

// TestServerRefuses sends first messages for which the server must close the
// connection and give a reason.
func TestServerRefuses(t *testing.T) {
	good := Hello{Version: Version, Host: "b", Role: RoleControl, Key: "k"}
	hello := func(change func(*Hello)) []byte {
		h := good
		change(&h)
		b, err := Encode(Frame{Hello: &h})
		assert.NilError(t, err)
		return b
	}
	tests := []struct {
		name, reason string
		first        []byte
	}{
		{"key", "the cluster key differs", hello(func(h *Hello) { h.Key = "K" })},
		{"no key", "the cluster key differs", hello(func(h *Hello) { h.Key = "" })},
		{"version", fmt.Sprintf("protocol version %d is not %d", Version-1, Version), hello(func(h *Hello) { h.Version = Version - 1 })},
		{"role", "names no host or role", hello(func(h *Hello) { h.Role = 9 })},
		{"host", "names no host or role", hello(func(h *Hello) { h.Host = "" })},
		{"size", "", hello(func(h *Hello) { h.Key = strings.Repeat("k", maxHelloBytes) })},
		{"garbage", "malformed frame", []byte("GET / HTTP/1.1")},
		{"other frame", "the first frame is not a hello", func() []byte {
			b, err := Encode(Frame{KeepAlive: &KeepAlive{}})
			assert.NilError(t, err)
			return b
		}()},
	}
	s := newTestHost(t, "a", "k")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ws, ctx := dialRaw(t, s.addr)
			assert.NilError(t, ws.Write(ctx, websocket.MessageBinary, tt.first))
			_, _, err := ws.Read(ctx)
			var closed websocket.CloseError
			assert.Assert(t, errors.As(err, &closed), "%v", err)
			assert.Assert(t, strings.Contains(closed.Reason, tt.reason), closed.Reason)
		})
	}
	m := sendUntilReceived(t, s.messages, sender(t, "b", "k", s.addr)) // the server still works
	assert.Equal(t, m.From, types.HostID("b"))
}

// sender starts another control host and returns a function that sends a message
// from it.
func sender(t *testing.T, host types.HostID, key string, addr types.Address) func() {
	t.Helper()
	b := newTestHost(t, host, key, addr)
	return func() { b.mesh.Send(proto.Message{From: host}) }
}

// TestProxyCannotSendConsensusMessages checks that a control host drops messages
// that the sender's role does not allow.
func TestProxyCannotSendConsensusMessages(t *testing.T) {
	s := newTestHost(t, "a", "k")
	ws, ctx := dialRaw(t, s.addr)
	send := func(f Frame) { assert.NilError(t, writeFrame(ctx, ws, f)) }
	send(Frame{Hello: &Hello{Version: Version, Host: "p", Role: RoleProxy, Key: "k"}})
	send(Frame{Message: &proto.Message{From: "b"}})
	send(Frame{LeaseRequest: &proto.LeaseRequest{Proxy: "other"}})
	send(Frame{LeaseRequest: &proto.LeaseRequest{Proxy: "p"}})
	r := sendUntilReceived(t, s.requests, func() {})
	assert.Equal(t, r.Proxy, types.HostID("p"))
	assert.Equal(t, len(s.messages), 0)
}

// TestSilentConnectionIsClosed checks that a control host closes a connection on
// which the other side sends no frames.
func TestSilentConnectionIsClosed(t *testing.T) {
	s := newTestHost(t, "a", "k")
	ws, ctx := dialRaw(t, s.addr)
	assert.NilError(t, writeFrame(ctx, ws, Frame{Hello: &Hello{Version: Version, Host: "b", Role: RoleControl, Key: "k"}}))
	var err error
	for err == nil {
		_, _, err = ws.Read(ctx) // the hello, then keep-alives
	}
	assert.NilError(t, ctx.Err())
}

// TestMeshRedials checks that a control host connects to another one that restarts
// with a new identity at the same address.
func TestMeshRedials(t *testing.T) {
	m := NewMesh(Options{Host: "a", Key: "k"})
	var running atomic.Pointer[Server]
	running.Store(NewServer(m))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Load().ServeHTTP(w, r)
	}))
	m.Start(Handlers{Message: func(proto.Message) {}})
	b := newTestHost(t, "b", "k", types.Address(server.Listener.Addr().String()))
	got := sendUntilReceived(t, b.messages, func() { m.Send(proto.Message{To: "b", From: "a"}) })
	assert.Equal(t, got.From, types.HostID("a"))
	m.Close()
	again := NewMesh(Options{Host: "a2", Key: "k"})
	running.Store(NewServer(again))
	again.Start(Handlers{Message: func(proto.Message) {}})
	t.Cleanup(func() { again.Close(); server.Close() })
	got = sendUntilReceived(t, b.messages, func() { again.Send(proto.Message{To: "b", From: "a2"}) })
	assert.Equal(t, got.From, types.HostID("a2"))
}

// TestOwnAddressIsNotRedialed checks that a control host that dials its own address
// stops dialing it.
func TestOwnAddressIsNotRedialed(t *testing.T) {
	m := NewMesh(Options{Host: "a"})
	server := httptest.NewServer(NewServer(m))
	t.Cleanup(func() { m.Close(); server.Close() })
	m.dialer.options.Addresses = []types.Address{types.Address(server.Listener.Addr().String())}
	m.Start(Handlers{Message: func(proto.Message) { t.Error("message to itself") }})
	done := make(chan struct{})
	go func() { defer close(done); m.dialer.maintain(m.dialer.tasks.ctx, m.dialer.options.Addresses[0]) }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the own address is redialed")
	}
	m.Send(proto.Message{})
}

func TestTLS(t *testing.T) {
	m := NewMesh(Options{Host: "a", Key: "k"})
	server := httptest.NewTLSServer(NewServer(m))
	got := make(chan proto.LeaseRequest, 100)
	m.Start(Handlers{Message: func(proto.Message) {}, LeaseRequest: func(r proto.LeaseRequest) { got <- r }})
	t.Cleanup(func() { m.Close(); server.Close() })
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	for _, tt := range []struct {
		config *tls.Config
		works  bool
	}{{&tls.Config{}, false}, {trusted, true}} {
		l := NewLink(Options{Host: "p", Key: "k", TLS: tt.config, Addresses: []types.Address{types.Address(server.Listener.Addr().String())}})
		if _, err := l.dialer.dial(context.Background(), l.dialer.options.Addresses[0]); tt.works != (err == nil) {
			t.Fatalf("works: %v, error: %v", tt.works, err)
		}
	}
}

// TestQueueDropsOldest fills a queue beyond its capacity.
func TestQueueDropsOldest(t *testing.T) {
	q := newQueue()
	for i := range maxQueuedFrames + 3 {
		q.put(Frame{Message: &proto.Message{Round: uint64(i)}})
	}
	fs := q.takeAll()
	assert.Equal(t, len(fs), maxQueuedFrames)
	assert.Equal(t, fs[0].Message.Round, uint64(3))
	assert.Equal(t, q.droppedCount(), uint64(3))
}
