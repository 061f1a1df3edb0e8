package wire

import (
	"crypto/tls"
	"net/http"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Options configures a Mesh or a Link.
type Options struct {
	Host      types.HostID    // identity of this process
	Key       string          // cluster key, the same on all hosts
	Addresses []types.Address // control hosts; a Mesh may list itself
	TLS       *tls.Config     // client side; nil dials without TLS
	Seed      uint64          // of the redial jitter
}

// Handlers take in what other processes send. They may block, which slows
// down only the connection that the frame came on.
type Handlers struct {
	Message      func(proto.Message)
	LeaseRequest func(proto.LeaseRequest)
}

// Mesh connects a control host with the other control hosts and the proxies.
// It implements runtime.Peers and runtime.Proxies.
type Mesh struct{}

// NewMesh returns a mesh that does nothing before Start.
func NewMesh(Options) *Mesh { return &Mesh{} }

// Start dials the other control hosts and begins to accept connections.
func (m *Mesh) Start(Handlers) {}

// Close ends all connections and waits for their goroutines.
func (m *Mesh) Close() {}

// Send sends a message to a control host, or to all when To is empty.
func (m *Mesh) Send(proto.Message) {}

// Grant sends a grant on the connection on which the proxy last asked.
func (m *Mesh) Grant(proto.LeaseGrant) {}

// Server accepts the connections of control hosts and proxies at Path.
type Server struct{ mesh *Mesh }

// NewServer returns the handler that feeds m.
func NewServer(m *Mesh) *Server { return &Server{mesh: m} }

// ServeHTTP upgrades a request and serves the connection until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// Link connects a proxy with the control hosts. It implements
// runtime.ControlLink.
type Link struct{}

// NewLink returns a link that does nothing before Start.
func NewLink(Options) *Link { return &Link{} }

// Start dials the control hosts. Grants go to onGrant, which may block.
func (l *Link) Start(onGrant func(types.HostID, proto.LeaseGrant)) {}

// Close ends all connections and waits for their goroutines.
func (l *Link) Close() {}

// Request sends a lease request to a control host, or to any connected one
// when to is empty.
func (l *Link) Request(to types.HostID, r proto.LeaseRequest) {}
