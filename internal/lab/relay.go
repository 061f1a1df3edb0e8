package lab

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Sizes of a relay's buffers.
const (
	chunkBytes  = 32 << 10
	queueChunks = 256 // that may be under way in one direction
)

// Direction is a way through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
	directions // how many there are
)

// Relay passes connections on to an address with a delay each way, and does to
// them what networks do. A cut holds back all bytes until it is healed.
type Relay struct {
	target string
	delay  atomic.Int64 // nanoseconds, each way
	lis    net.Listener

	mu     sync.Mutex
	healed [directions]chan struct{} // closed while bytes may pass that way
	pairs  map[*pair]struct{}
	closed bool
}

// pair is a connection and its continuation to the target.
type pair struct {
	in, out net.Conn
	silent  atomic.Bool // drops all bytes
}

// chunk is a piece of a stream and when it may be passed on.
type chunk struct {
	data []byte
	due  time.Time
}

// NewRelay opens a relay on a free port of the loopback interface.
func NewRelay(target string, delay time.Duration) (*Relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "opening a relay")
	}
	r := &Relay{target: target, lis: lis, pairs: make(map[*pair]struct{})}
	r.SetDelay(delay)
	for d := range r.healed {
		r.healed[d] = make(chan struct{})
		close(r.healed[d])
	}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.lis.Addr().String() }

// SetDelay changes the delay of bytes that come from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

func (r *Relay) delayNow() time.Duration { return time.Duration(r.delay.Load()) }

// Cut holds back all bytes from now on, both ways.
func (r *Relay) Cut() {
	r.CutWay(ToTarget)
	r.CutWay(ToCaller)
}

// CutWay holds back all bytes that go one way.
func (r *Relay) CutWay(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.healed[d]:
		r.healed[d] = make(chan struct{})
	default:
	}
}

// Heal lets bytes pass again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.healed {
		select {
		case <-r.healed[d]:
		default:
			close(r.healed[d])
		}
	}
}

// Reset breaks all open connections with a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
	}
}

// Silence lets nothing pass any more on the connections that are open; new ones
// work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// passable returns a channel that is closed once bytes may pass that way.
func (r *Relay) passable(d Direction) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed[d]
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.lis.Close() // nothing is lost by it
	r.Heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
}

// track remembers a pair for Close. It reports false after Close.
func (r *Relay) track(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) untrack(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.close()
}

// close gives up both connections.
func (p *pair) close() {
	_ = p.in.Close()
	if p.out != nil {
		_ = p.out.Close()
	}
}

// reset gives them up with a reset: unsent bytes are dropped.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.in, p.out} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func (r *Relay) accept() {
	for {
		in, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

// serve passes one connection on; its start takes one round trip.
func (r *Relay) serve(in net.Conn) {
	time.Sleep(2 * r.delayNow())
	<-r.passable(ToTarget)
	<-r.passable(ToCaller)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close() // there is nobody to pass it on to
		return
	}
	p := &pair{in: in, out: out}
	if !r.track(p) {
		return
	}
	defer r.untrack(p)
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(p, out, in, ToTarget) })
	pumps.Go(func() { r.pump(p, in, out, ToCaller) })
	pumps.Wait()
}

// pump passes on what comes in one direction and then ends that direction.
func (r *Relay) pump(p *pair, to, from net.Conn, way Direction) {
	chunks := make(chan chunk, queueChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{data: buf[:n], due: time.Now().Add(r.delayNow())}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		<-r.passable(way)
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	time.Sleep(r.delayNow())
	<-r.passable(way)
	if !p.silent.Load() {
		p.close() // a half that has ended ends the other as well
	}
	for range chunks { // the reader must not wait for room
	}
}
