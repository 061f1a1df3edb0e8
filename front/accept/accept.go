// Package accept takes in the connections of a front's callers and ends them.
package accept

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// pauseAfterFailure is the time until the next try after a failed accept. A
// shortage of file descriptors ends with the connections of others.
const pauseAfterFailure = 50 * time.Millisecond

// Serve serves one connection until its end; open counts it and all others that
// are open. ctx ends when connections are cut off. The connection is closed
// afterwards.
type Serve func(ctx context.Context, conn net.Conn, open int)

// Server accepts connections and serves each on a goroutine of its own.
type Server struct {
	serve  Serve
	forced context.Context // ends when connections are cut off
	force  context.CancelFunc

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	stopping  bool
	open      int
	active    sync.WaitGroup
}

// New returns a server that serves connections by serve.
func New(serve Serve) *Server {
	forced, force := context.WithCancel(context.Background())
	return &Server{serve: serve, forced: forced, force: force, listeners: make(map[net.Listener]struct{})}
}

// Serve accepts connections until ctx ends or Shutdown is called. Connections
// live on after it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		return trace.ConnectionProblem(nil, "the front is shutting down")
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
		case passes(err):
			klog.InfoS("accept_failed", "reason", err.Error())
			wait(ctx, pauseAfterFailure)
		default:
			return trace.Wrap(err, "accepting callers")
		}
	}
}

// passes reports whether an error of accept says nothing of the listener: the
// process or its host is short of file descriptors, or the caller left already.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Shutdown stops listening and waits until all connections have ended; the
// caller of Shutdown has asked the proxy to drain. Those that are left when ctx
// ends are cut off, and the error says so.
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
	s.force()
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
	if s.stopping {
		_ = conn.Close()
		return
	}
	s.open++
	s.active.Add(1)
	go s.run(conn, s.open)
}

func (s *Server) run(conn net.Conn, open int) {
	defer s.release()
	defer conn.Close()
	stop := context.AfterFunc(s.forced, func() { _ = conn.Close() })
	defer stop()
	s.serve(s.forced, conn, open)
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.active.Done()
}
