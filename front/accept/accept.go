// Package accept is the accept loop of a front end: it serves each caller
// connection on a goroutine of its own and closes all of them on shutdown.
package accept

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/contain"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// acceptRetryDelay is the delay before the next accept after a temporary error.
// File descriptors become available again when other connections close.
const acceptRetryDelay = 50 * time.Millisecond

// refusedLogInterval is the minimum time between two log lines about refused connections.
const refusedLogInterval = time.Second

// Handler serves one connection until it ends. open is the number of open
// connections, this one included. ctx is canceled when the server closes the
// remaining connections. The server closes conn when the handler returns.
type Handler func(ctx context.Context, conn net.Conn, open int)

// Server accepts connections and serves each on its own goroutine.
type Server struct {
	// MaxOpen limits the open connections: more are closed at once. Zero means no limit.
	MaxOpen int

	handler Handler
	ctx     context.Context // canceled when the remaining connections are closed
	cancel  context.CancelFunc

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	stopping  bool
	open      int // open connections
	refused   int // connections refused since the last log line
	loggedAt  time.Time
	active    sync.WaitGroup
}

// New returns a server that calls handler for each connection.
func New(handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handler: handler, ctx: ctx, cancel: cancel, listeners: make(map[net.Listener]struct{})}
}

// Serve accepts connections until ctx ends or Shutdown is called. Open
// connections continue after it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		return trace.ConnectionProblem(nil, "the front end is shutting down")
	}
	defer s.removeListener(l)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.accept(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			klog.InfoS("accept_failed", "reason", err.Error())
			sleep(ctx, acceptRetryDelay)
		default:
			return trace.Wrap(err, "accepting caller connections")
		}
	}
}

// isTemporary reports whether an accept error does not concern the listener
// itself: the process or its host is short of file descriptors, or the caller
// closed the connection before it was accepted.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Shutdown closes the listeners and waits until all connections have ended; it
// does not end sessions itself, so the proxy is asked to drain before.
// Connections that are still open when ctx ends are closed, and an error is
// returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopListening()
	ended := make(chan struct{})
	go func() {
		s.active.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	s.cancel()
	<-ended
	return trace.Wrap(ctx.Err(), "sessions were cut off")
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		_ = l.Close()
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	_ = l.Close()
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for l := range s.listeners {
		_ = l.Close()
	}
}

// accept serves a new connection on its own goroutine.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.MaxOpen > 0 && s.open >= s.MaxOpen {
		_ = conn.Close()
		s.logRefused()
		return
	}
	s.open++
	s.active.Add(1)
	go s.run(conn, s.open)
}

// logRefused writes a line about refused connections, at most one each refusedLogInterval.
func (s *Server) logRefused() {
	s.refused++
	if now := time.Now(); !s.stopping && now.Sub(s.loggedAt) >= refusedLogInterval {
		klog.InfoS("callers_refused", "count", s.refused, "open", s.open, "reason", "the process may have no more connections of callers")
		s.loggedAt, s.refused = now, 0
	}
}

func (s *Server) run(conn net.Conn, open int) {
	defer s.release()
	defer conn.Close()
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	_ = contain.Call("the connection of a caller", func() error { // a panic is logged
		s.handler(s.ctx, conn, open)
		return nil
	})
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.active.Done()
}
