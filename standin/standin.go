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
	// Listen is the address to listen on; port 0 selects a free port.
	Listen string
	// Announce lists the addresses of the daemons that receive announcements.
	Announce         []string
	AnnounceInterval time.Duration
	// MaxConnections limits the open connections, including those for control
	// commands and probes. Replication connections do not count.
	MaxConnections int
	// Slots is the number of statements that may run at the same time. A
	// statement holds one slot for its simulated execution time.
	Slots int
	// ConnectCost is the simulated time to set up a connection.
	ConnectCost time.Duration
	// StatementCost is the simulated execution time of a statement, during
	// which it holds its slot.
	StatementCost time.Duration
	// Lag is the minimum age of a log entry before a replica applies it.
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

// Start starts a member that runs until Close is called.
func Start(c Config) (*Member, error) {
	c = c.withDefaults()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", c.Listen)
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

// Leave announces that the member leaves. It then waits until this member is
// not the primary and no transaction is in progress on it, or until ctx ends.
func (m *Member) Leave(ctx context.Context) error {
	m.announce.announceLeave()
	m.loop.post(leaveRequested{})
	select {
	case <-m.loop.left:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "waiting for member %s to hand over the primary role and finish its transactions", m.config.Name)
	}
}

// Close stops the member immediately and closes all its connections.
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

// serve handles one connection until it ends.
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
