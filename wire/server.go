package wire

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Server accepts the connections of control hosts and proxies at Path.
type Server struct{ mesh *Mesh }

// NewServer returns the HTTP handler that accepts the connections of m. It refuses
// them until m has started.
func NewServer(m *Mesh) *Server { return &Server{mesh: m} }

// ServeHTTP upgrades a request and serves the connection until it ends. It does not
// use the context of the request, because servers set a timeout on it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.mesh.started() || !s.mesh.dialer.tasks.join() {
		http.Error(w, "this control host is not running", http.StatusServiceUnavailable)
		return
	}
	defer s.mesh.dialer.tasks.wg.Done()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: compression, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return // Accept has sent an error response
	}
	defer func() { _ = ws.CloseNow() }()
	ctx := s.mesh.dialer.tasks.ctx
	peer, err := s.exchangeHellos(ctx, ws)
	if err != nil {
		klog.InfoS("peer_refused", "host", s.mesh.dialer.self.Host, "address", r.RemoteAddr, "reason", oneLine(err))
		_ = ws.Close(websocket.StatusPolicyViolation, closeReason(err))
		return
	}
	c := newConn(ws, peer)
	klog.InfoS("peer_accepted", "host", s.mesh.dialer.self.Host, "peer", peer.Host, "role", peer.Role.String())
	c.logDisconnect(s.mesh.dialer.self, s.mesh.serveAccepted(ctx, c))
}

func (m *Mesh) started() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers.Message != nil
}

// exchangeHellos reads the other side's hello, checks it and sends its own.
func (s *Server) exchangeHellos(ctx context.Context, ws *websocket.Conn) (Hello, error) {
	ws.SetReadLimit(maxHelloBytes)
	f, err := readFrame(ctx, ws, maxHelloBytes, helloTimeout)
	if err != nil {
		return Hello{}, err
	}
	if f.Hello == nil {
		return Hello{}, trace.BadParameter("the first frame is not a hello")
	}
	if err := s.checkHello(f.Hello); err != nil {
		return Hello{}, err
	}
	reply := s.mesh.dialer.self
	reply.Key = ""
	return *f.Hello, writeFrame(ctx, ws, Frame{Hello: &reply})
}

func (s *Server) checkHello(h *Hello) error {
	switch {
	case h.Version != Version:
		return trace.BadParameter("protocol version %d is not %d", h.Version, Version)
	case !keysEqual(h.Key, s.mesh.dialer.options.Key):
		return trace.AccessDenied("the cluster key differs")
	case h.Host == "" || h.Role != RoleControl && h.Role != RoleProxy:
		return trace.BadParameter("the hello names no host or role: host %+q, role %d", h.Host, uint8(h.Role))
	}
	return nil
}

// keysEqual compares two keys in constant time, also if their lengths differ.
func keysEqual(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// closeReason returns the text of an error, cut to what fits in a close frame.
func closeReason(err error) string {
	const maxReasonBytes = 120 // a close frame can hold 123 bytes
	text := oneLine(err)
	return strings.ToValidUTF8(text[:min(maxReasonBytes, len(text))], "")
}
