package wire

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Timeouts and delays of dialing.
const (
	dialTimeout = 2 * time.Second
	// tcpConnectTimeout bounds one attempt to connect. A host that has just come
	// back accepts a new attempt at once, while the kernel retransmits a lost
	// SYN only after 1 s.
	tcpConnectTimeout = 300 * time.Millisecond
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = 500 * time.Millisecond
	// maxDisconnectedRedialDelay bounds the delay while there is no connection
	// to any control host: a process that has just started can't work without
	// one.
	maxDisconnectedRedialDelay = 100 * time.Millisecond
)

// Options configures a Mesh or a Link.
type Options struct {
	Host      types.HostID    // identity of this process
	Key       string          // cluster key, the same on all hosts
	Addresses []types.Address // of control hosts; a Mesh may list its own
	TLS       *tls.Config     // of the client side; nil dials without TLS
	Seed      uint64          // of the redial jitter
}

// dialer maintains one connection to each address.
type dialer struct {
	options        Options
	self           Hello
	client         *http.Client
	scheme         string
	onConnected    func(*conn)
	onDisconnected func(*conn)
	onFrame        func(*conn, Frame)
	tasks          taskGroup

	openConns atomic.Int32 // number of open connections

	mu     sync.Mutex
	dialed map[types.Address]bool // addresses that have a dialing goroutine
}

func newDialer(o Options, r Role) *dialer {
	d := &dialer{
		tasks:   newTaskGroup(),
		dialed:  make(map[types.Address]bool),
		options: o,
		self:    Hello{Version: Version, Host: o.Host, Role: r, Key: o.Key},
		client: &http.Client{Transport: &http.Transport{
			TLSClientConfig: o.TLS, DialContext: (&net.Dialer{Timeout: tcpConnectTimeout}).DialContext,
		}},
		scheme: "ws://",
	}
	if o.TLS != nil {
		d.scheme = "wss://"
	}
	return d
}

// addAddresses starts to dial the addresses that are new.
func (d *dialer) addAddresses(addresses []types.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range addresses {
		if !d.dialed[addr] {
			d.dialed[addr] = true
			d.tasks.start(func(ctx context.Context) { d.maintain(ctx, addr) })
		}
	}
}

// maintain dials an address, and redials it when the connection ends, until ctx
// ends.
func (d *dialer) maintain(ctx context.Context, addr types.Address) {
	random := rand.New(rand.NewPCG(d.options.Seed, xxhash.Sum64String(string(addr))))
	backoff := minRedialDelay
	for {
		c, err := d.dial(ctx, addr)
		switch {
		case err != nil:
			klog.V(1).InfoS("peer_dial_failed", "host", d.self.Host, "address", addr, "reason", oneLine(err))
		case c.peer.Host == d.self.Host:
			_ = c.ws.CloseNow()
			return // the address is this process's own
		default:
			backoff = minRedialDelay
			d.serve(ctx, c)
		}
		if !sleep(ctx, d.redialDelay(backoff, random)) {
			return
		}
		backoff = min(2*backoff, maxRedialDelay)
	}
}

// redialDelay returns how long to wait before the next dial, with jitter.
func (d *dialer) redialDelay(backoff time.Duration, random *rand.Rand) time.Duration {
	if d.openConns.Load() == 0 {
		backoff = min(backoff, maxDisconnectedRedialDelay)
	}
	return backoff/2 + time.Duration(random.Int64N(int64(backoff/2)))
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// dial opens a connection and exchanges hellos.
func (d *dialer) dial(ctx context.Context, addr types.Address) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, d.scheme+string(addr)+Path, &websocket.DialOptions{
		HTTPClient: d.client, CompressionMode: compression, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialing control host %s", addr)
	}
	peer, err := d.exchangeHellos(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return newConn(ws, peer), nil
}

func (d *dialer) exchangeHellos(ctx context.Context, ws *websocket.Conn) (Hello, error) {
	ws.SetReadLimit(maxHelloBytes)
	if err := writeFrame(ctx, ws, Frame{Hello: &d.self}); err != nil {
		return Hello{}, err
	}
	f, err := readFrame(ctx, ws, maxHelloBytes, helloTimeout)
	if err != nil {
		return Hello{}, err
	}
	if f.Hello == nil || f.Hello.Version != Version {
		return Hello{}, trace.BadParameter("the control host did not answer with a hello of protocol version %d", Version)
	}
	return *f.Hello, nil
}

func (d *dialer) serve(ctx context.Context, c *conn) {
	klog.InfoS("peer_connected", "host", d.self.Host, "peer", c.peer.Host, "role", c.peer.Role.String())
	d.openConns.Add(1)
	defer d.openConns.Add(-1)
	d.onConnected(c)
	err := c.serve(ctx, func(f Frame) { d.onFrame(c, f) })
	d.onDisconnected(c)
	c.logDisconnect(d.self, err)
}
