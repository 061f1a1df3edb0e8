package standin

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Defaults of Config.
const (
	DefaultMaxConnections   = 20
	DefaultSlots            = 3
	DefaultAnnounceInterval = 500 * time.Millisecond
	DefaultLeaveTimeout     = 30 * time.Second
)

// Config describes one member.
type Config struct {
	Service          string
	Name             string
	AvailabilityZone string
	// Listen is the address to listen on; port 0 takes a free one.
	Listen string
	// Announce lists the addresses of daemons that take announcements.
	Announce         []string
	AnnounceInterval time.Duration
	// MaxConnections bounds the connections, those of control included.
	MaxConnections int
	// Slots bounds the statements that run at once.
	Slots int
	// ConnectCost is the time that a new connection takes.
	ConnectCost time.Duration
	// StatementCost is the time that a statement keeps its slot.
	StatementCost time.Duration
	// Lag is the least age of an entry before a replica applies it.
	Lag time.Duration
}

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.MaxConnections <= 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.AnnounceInterval <= 0 {
		c.AnnounceInterval = DefaultAnnounceInterval
	}
	return c
}

// Member is a running member.
type Member struct {
	config   Config
	listener net.Listener
	loop     *loop
	announce *announcer
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Start starts a member. It runs until Close.
func Start(c Config) (*Member, error) {
	c = c.withDefaults()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "listening for connections")
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{config: c, listener: listener, ctx: ctx, cancel: cancel}
	m.loop = newLoop(memberOptions{
		maxConnections: c.MaxConnections, slots: c.Slots, statementCost: c.StatementCost,
	}, c.Lag)
	m.announce = newAnnouncer(c, m.Address())
	m.running.Go(func() { m.loop.run(ctx) })
	m.running.Go(func() { m.announce.run(ctx) })
	m.running.Go(m.accept)
	klog.InfoS("member started", "service", c.Service, "target", c.Name, "address", m.Address(),
		"availability_zone", c.AvailabilityZone)
	return m, nil
}

// Address returns the address that the member listens on.
func (m *Member) Address() string { return m.listener.Addr().String() }

// Leave announces that the member leaves and waits until another member is
// the primary and no transaction is under way here, or ctx ends.
func (m *Member) Leave(ctx context.Context) error {
	m.announce.leave()
	m.loop.post(leaveAsked{})
	select {
	case <-m.loop.left:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "waiting for transactions")
	}
}

// Close ends the member at once and drops all its connections.
func (m *Member) Close() {
	m.cancel()
	m.listener.Close()
	m.running.Wait()
}

func (m *Member) accept() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "accepting a connection", "target", m.config.Name)
			return
		}
		m.running.Go(func() { m.serve(conn) })
	}
}

// serve runs one connection.
func (m *Member) serve(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(m.ctx, func() { conn.Close() })
	defer stop()
	c := newServerConn(m.loop, conn)
	defer c.end()
	if err := c.run(m.config.ConnectCost); err != nil {
		klog.V(2).InfoS("connection ended", "target", m.config.Name, "remote", conn.RemoteAddr(), "err", err)
	}
}
