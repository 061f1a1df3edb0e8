package pg

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/camphorpaddle/camphorpaddle/runtime"
)

// acceptPause is the time until the next try after a failed accept.
const acceptPause = 50 * time.Millisecond

// Defaults of Config.
const (
	DefaultMaxSessions    = 10_000
	DefaultMaxMessage     = 16 << 20 // bytes
	DefaultMaxBatch       = 32 << 20 // bytes
	DefaultMaxStatements  = 1000
	DefaultStartupTimeout = 10 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
)

// Config holds the limits of the front.
type Config struct {
	// TLS is offered to callers that ask for it when it is set.
	TLS *tls.Config
	// MaxSessions bounds the connections of callers.
	MaxSessions int
	// MaxMessage bounds one message, in bytes.
	MaxMessage int
	// MaxBatch bounds the messages up to one Sync, in bytes.
	MaxBatch int
	// MaxStatements bounds the prepared statements of one session.
	MaxStatements int
	// StartupTimeout bounds the time until the startup message is complete.
	StartupTimeout time.Duration
	// WriteTimeout bounds the time in which a caller takes in an answer.
	WriteTimeout time.Duration
}

// withDefaults fills in what the configuration leaves out.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxSessions, DefaultMaxSessions)
	setDefault(&c.MaxMessage, DefaultMaxMessage)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.MaxStatements, DefaultMaxStatements)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	return c
}

func setDefault[T int | time.Duration](value *T, otherwise T) {
	if *value <= 0 {
		*value = otherwise
	}
}

// Server accepts callers and serves their sessions through a proxy.
type Server struct {
	config Config
	proxy  *runtime.Proxy
	forced context.Context // ends when sessions are cut off
	force  context.CancelFunc

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	stopping  bool
	sessions  int
	active    sync.WaitGroup
}

// New returns a server for the sessions of proxy.
func New(c Config, proxy *runtime.Proxy) *Server {
	forced, force := context.WithCancel(context.Background())
	return &Server{
		config:    c.withDefaults(),
		proxy:     proxy,
		forced:    forced,
		force:     force,
		listeners: make(map[net.Listener]struct{}),
	}
}

// Serve accepts callers until ctx ends or Shutdown is called. Sessions live on
// after it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		return trace.ConnectionProblem(nil, "the front is shutting down")
	}
	defer s.removeListener(l)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		switch {
		case err == nil:
			s.accept(conn)
		case passes(err):
			klog.InfoS("accept_failed", "reason", err.Error())
			wait(ctx, acceptPause)
		default:
			return trace.Wrap(err, "accepting callers")
		}
	}
}

// passes reports whether an error of accept says nothing of the listener: the
// process is short of file descriptors, or the caller left already.
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

// Shutdown stops listening and waits until all sessions have ended; the
// caller of Shutdown has asked the proxy to drain. Sessions that are left when
// ctx ends are cut off, and the error says so.
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
		l.Close()
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	l.Close()
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for l := range s.listeners {
		l.Close()
	}
}

// accept serves a new connection on its own goroutine.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		conn.Close()
		return
	}
	s.sessions++
	full := s.sessions > s.config.MaxSessions
	s.active.Add(1)
	go func() {
		defer s.release()
		s.serve(conn, full)
	}()
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions--
	s.active.Done()
}

// serve runs one connection from startup to its end.
func (s *Server) serve(raw net.Conn, full bool) {
	stop := context.AfterFunc(s.forced, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	c := newCaller(s, raw)
	ok, err := c.startup(full)
	if err == nil && ok {
		err = c.run()
	}
	if err != nil {
		klog.V(1).InfoS("caller connection ended", "remote", raw.RemoteAddr(), "service", c.params.Service, "err", err)
	}
}
