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

// serve runs one connection from startup to its end.
func (s *Server) serve(forced context.Context, raw net.Conn, open int) {
	c := newCaller(forced, s, raw)
	ok, err := c.startup(open > s.config.MaxSessions)
	if err == nil && ok {
		err = c.run()
	}
	if err != nil {
		klog.V(1).InfoS("caller connection ended", "remote", raw.RemoteAddr(), "service", c.params.Service, "err", err)
	}
}
