package lab

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Buffer sizes of a connection.
const (
	chunkBytes  = 32 << 10
	queueChunks = 256 // in flight in one direction
)

// Direction is the direction of data through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
	directions // the number of directions
)

// Relay forwards connections to an address, adds latency in each direction and
// simulates network faults. A cut delays all data until Heal.
type Relay struct {
	target string
	delay  atomic.Int64 // in each direction, in nanoseconds
	lis    net.Listener

	mu     sync.Mutex
	flow   [directions]chan struct{} // closed while data may flow in the direction
	pairs  map[*connPair]struct{}
	closed bool
}

// connPair is the connection of a caller and the one to the target.
type connPair struct {
	caller, target net.Conn
	blackholed     atomic.Bool // drops all data
}

// chunk is a part of a stream and the time at which it is forwarded.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// NewRelay starts a relay to target on a free port of the loopback interface. The
// delay applies in each direction.
func NewRelay(target string, delay time.Duration) (*Relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "opening a relay to %s", target)
	}
	r := &Relay{target: target, lis: lis, pairs: make(map[*connPair]struct{})}
	r.SetDelay(delay)
	for d := range r.flow {
		r.flow[d] = make(chan struct{})
		close(r.flow[d])
	}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.lis.Addr().String() }

// SetDelay changes the delay of data that is received from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

func (r *Relay) currentDelay() time.Duration { return time.Duration(r.delay.Load()) }

// Cut holds back all data in both directions until Heal.
func (r *Relay) Cut() {
	r.CutDirection(ToTarget)
	r.CutDirection(ToCaller)
}

// CutDirection holds back all data in one direction until Heal.
func (r *Relay) CutDirection(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.flow[d]:
		r.flow[d] = make(chan struct{})
	default:
	}
}

// Heal ends all cuts and forwards the data held back.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.flow {
		select {
		case <-r.flow[d]:
		default:
			close(r.flow[d])
		}
	}
}

// Reset closes all open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
	}
}

// Blackhole drops all further data on the connections that are open, without closing
// them. New connections work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackholed.Store(true)
	}
}

// flowing returns a channel that is closed once data may flow in a direction.
func (r *Relay) flowing(d Direction) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flow[d]
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.lis.Close() // an error leaves nothing to clean up
	r.Heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
}

// track registers a pair for Close. After Close it closes the pair and returns
// false.
func (r *Relay) track(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

// untrack closes a pair and forgets it.
func (r *Relay) untrack(p *connPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.close()
}

// close closes both connections.
func (p *connPair) close() {
	_ = p.caller.Close()
	if p.target != nil {
		_ = p.target.Close()
	}
}

// reset closes both connections with a TCP reset, which drops unsent data.
func (p *connPair) reset() {
	for _, c := range []net.Conn{p.caller, p.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func (r *Relay) accept() {
	for {
		caller, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(caller)
	}
}

// serve forwards one connection. It dials the target after one round-trip time, as
// a TCP handshake would take.
func (r *Relay) serve(caller net.Conn) {
	time.Sleep(2 * r.currentDelay())
	<-r.flowing(ToTarget)
	<-r.flowing(ToCaller)
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = caller.Close() // the target is unreachable
		return
	}
	p := &connPair{caller: caller, target: target}
	if !r.track(p) {
		return
	}
	defer r.untrack(p)
	var forwarders sync.WaitGroup
	forwarders.Go(func() { r.forward(p, target, caller, ToTarget) })
	forwarders.Go(func() { r.forward(p, caller, target, ToCaller) })
	forwarders.Wait()
}

// forward copies data in one direction until its end, and then closes the pair
// unless it drops all data.
func (r *Relay) forward(p *connPair, to, from net.Conn, dir Direction) {
	chunks := make(chan chunk, queueChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{data: buf[:n], sendAt: time.Now().Add(r.currentDelay())}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.sendAt))
		<-r.flowing(dir)
		if p.blackholed.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	time.Sleep(r.currentDelay())
	<-r.flowing(dir)
	if !p.blackholed.Load() {
		p.close() // the end of one direction ends the other as well
	}
	for range chunks { // unblocks the reader if the queue is full
	}
}
