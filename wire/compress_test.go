package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// countingConn counts the bytes that are read from it.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.read}, err
}

// TestLargeConfigurationsAreCompressed guards against changes of a large
// configuration that use up the bandwidth of the links between regions: each change
// is sent to every control host.
func TestLargeConfigurationsAreCompressed(t *testing.T) {
	const routes = 1400
	var bytesRead atomic.Int64
	got := make(chan proto.Message, 1)
	mesh := NewMesh(Options{Host: "a", Key: "k"})
	mesh.Start(Handlers{Message: func(m proto.Message) { got <- m }, LeaseRequest: func(proto.LeaseRequest) {}})
	defer mesh.Close()
	srv := httptest.NewUnstartedServer(http.Handler(NewServer(mesh)))
	srv.Listener = countingListener{srv.Listener, &bytesRead}
	srv.Start()
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d := newDialer(Options{Host: "b", Key: "k"}, RoleControl)
	c, err := d.dial(ctx, types.Address(srv.Listener.Addr().String()))
	assert.NilError(t, err)
	defer func() { _ = c.ws.CloseNow() }()
	config := &types.Config{Routes: make(map[types.DatabaseName]types.Route)}
	for r := range routes {
		name := types.DatabaseName(fmt.Sprintf("database-%d", r))
		config.Routes[name] = types.Route{Database: name, Service: "spares-ledger", Profile: types.ProfileName(name)}
	}
	sent := Frame{Message: &proto.Message{Kind: proto.MsgAppend, Entries: []proto.Entry{{
		Index: 1, Command: proto.Command{Change: &proto.ChangeConfig{Number: 1, Config: config}},
	}}}}
	uncompressed, err := Encode(sent)
	assert.NilError(t, err)
	before := bytesRead.Load()
	assert.NilError(t, c.writeAndLog(ctx, sent))
	m := <-got
	assert.DeepEqual(t, m.Entries[0].Command.Change.Config, config)
	transmitted := bytesRead.Load() - before
	assert.Assert(t, transmitted*3 < int64(len(uncompressed)), "%d bytes are sent as %d", len(uncompressed), transmitted)
}
