package pg

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/camphorpaddle/camphorpaddle/front/accept"
	"github.com/camphorpaddle/camphorpaddle/runtime"
)

// Defaults of Config.
const (
	DefaultMaxSessions    = 10_000
	DefaultMaxMessage     = 16 << 20 // bytes
	DefaultMaxBatch       = 32 << 20 // bytes
	DefaultMaxStatements  = 1000
	DefaultStartupTimeout = 10 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
)

// Config configures the front end.
type Config struct {
	// TLS enables TLS for callers that request it, if it is set.
	TLS *tls.Config
	// MaxSessions limits the number of caller connections.
	MaxSessions int
	// MaxMessage limits the size of one message, in bytes.
	MaxMessage int
	// MaxBatch limits the total size of the messages up to one Sync, in bytes.
	MaxBatch int
	// MaxStatements limits the prepared statements of one session, and its open
	// portals.
	MaxStatements int
	// StartupTimeout limits the time until the startup is complete.
	StartupTimeout time.Duration
	// WriteTimeout limits the time to write an answer to the caller.
	WriteTimeout time.Duration
}

// withDefaults returns c with the defaults for the fields that are not set.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxSessions, DefaultMaxSessions)
	setDefault(&c.MaxMessage, DefaultMaxMessage)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.MaxStatements, DefaultMaxStatements)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Server accepts callers and serves their sessions through a proxy.
type Server struct {
	*accept.Server
	config Config
	proxy  *runtime.Proxy
}

// New returns a server for the sessions of proxy.
func New(c Config, proxy *runtime.Proxy) *Server {
	s := &Server{config: c.withDefaults(), proxy: proxy}
	s.Server = accept.New(s.serve)
	return s
}

// serve serves one connection from startup to its end.
func (s *Server) serve(ctx context.Context, conn net.Conn, open int) {
	c := newCaller(ctx, s, conn)
	ok, err := c.startup(open > s.config.MaxSessions)
	if err == nil && ok {
		err = c.run()
	}
	if err != nil {
		klog.V(1).InfoS("caller connection ended", "remote", conn.RemoteAddr(), "service", c.params.Service, "err", err)
	}
}
