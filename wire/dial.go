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

// Times of dialing.
const (
	dialTimeout = 2 * time.Second
	// connectTimeout is how long one try to connect may take. A host that just
	// came back answers a new try, while the kernel repeats a lost one only
	// after 1 s.
	connectTimeout = 300 * time.Millisecond
	redialMin      = 100 * time.Millisecond
	redialMax      = 500 * time.Millisecond
	// redialAlone bounds the pause while there is no connection to any control
	// host: a process that has just started can do nothing before.
	redialAlone = 100 * time.Millisecond
)

// Options configures a Mesh or a Link.
type Options struct {
	Host      types.HostID    // identity of this process
	Key       string          // cluster key, the same on all hosts
	Addresses []types.Address // control hosts; a Mesh may list itself
	TLS       *tls.Config     // client side; nil dials without TLS
	Seed      uint64          // of the redial jitter
}

// dialer keeps one connection to each address.
type dialer struct {
	options Options
	self    Hello
	client  *http.Client
	scheme  string
	added   func(*conn)
	removed func(*conn)
	handle  func(*conn, Frame)
	tasks   tasks

	live atomic.Int32 // connections that are open

	mu    sync.Mutex
	known map[types.Address]bool // addresses that are dialed
}

func newDialer(o Options, r Role) *dialer {
	d := &dialer{
		tasks:   newTasks(),
		known:   make(map[types.Address]bool),
		options: o,
		self:    Hello{Version: Version, Host: o.Host, Role: r, Key: o.Key},
		client: &http.Client{Transport: &http.Transport{
			TLSClientConfig: o.TLS, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
		}},
		scheme: "ws://",
	}
	if o.TLS != nil {
		d.scheme = "wss://"
	}
	return d
}

// know dials the addresses that are new.
func (d *dialer) know(addresses []types.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range addresses {
		if !d.known[addr] {
			d.known[addr] = true
			d.tasks.start(func(ctx context.Context) { d.keep(ctx, addr) })
		}
	}
}

// keep dials an address again and again until ctx ends.
func (d *dialer) keep(ctx context.Context, addr types.Address) {
	random := rand.New(rand.NewPCG(d.options.Seed, xxhash.Sum64String(string(addr))))
	wait := redialMin
	for {
		c, err := d.dial(ctx, addr)
		switch {
		case err != nil:
			klog.V(1).InfoS("peer_dial_failed", "host", d.self.Host, "address", addr, "reason", oneLine(err))
		case c.peer.Host == d.self.Host:
			_ = c.ws.CloseNow()
			return // the address is this process
		default:
			wait = redialMin
			d.serve(ctx, c)
		}
		if !sleep(ctx, d.pause(wait, random)) {
			return
		}
		wait = min(2*wait, redialMax)
	}
}

// pause returns how long to wait after a dial, with jitter.
func (d *dialer) pause(wait time.Duration, random *rand.Rand) time.Duration {
	if d.live.Load() == 0 {
		wait = min(wait, redialAlone)
	}
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}

// sleep waits and reports false when ctx ended first.
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
		HTTPClient: d.client, CompressionMode: compression, CompressionThreshold: compressFrom,
	})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialing control host %s", addr)
	}
	peer, err := d.greet(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return newConn(ws, peer), nil
}

func (d *dialer) greet(ctx context.Context, ws *websocket.Conn) (Hello, error) {
	ws.SetReadLimit(maxHelloBytes)
	if err := writeFrame(ctx, ws, Frame{Hello: &d.self}); err != nil {
		return Hello{}, err
	}
	f, err := readFrame(ctx, ws, maxHelloBytes, helloTimeout)
	if err != nil {
		return Hello{}, err
	}
	if f.Hello == nil || f.Hello.Version != Version {
		return Hello{}, trace.BadParameter("the control host does not speak version %d", Version)
	}
	return *f.Hello, nil
}

func (d *dialer) serve(ctx context.Context, c *conn) {
	klog.InfoS("peer_connected", "host", d.self.Host, "peer", c.peer.Host, "role", c.peer.Role.String())
	d.live.Add(1)
	defer d.live.Add(-1)
	d.added(c)
	err := c.serve(ctx, func(f Frame) { d.handle(c, f) })
	d.removed(c)
	c.logEnd(d.self, err)
}
