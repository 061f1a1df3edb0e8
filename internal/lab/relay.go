package lab

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Sizes of a relay's buffers.
const (
	chunkBytes  = 32 << 10
	queueChunks = 256 // that may be under way in one direction
)

// relay passes connections on to an address with a delay each way. A cut holds
// back all bytes, in both directions, until it is healed.
type relay struct {
	target string
	delay  time.Duration
	lis    net.Listener

	mu     sync.Mutex
	healed chan struct{} // closed while the relay is not cut
	conns  map[net.Conn]struct{}
	closed bool
}

// chunk is a piece of a stream and when it may be passed on.
type chunk struct {
	data []byte
	due  time.Time
}

func newRelay(target string, delay time.Duration) (*relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "opening a relay")
	}
	r := &relay{
		target: target, delay: delay, lis: lis,
		healed: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	close(r.healed)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.lis.Addr().String() }

// cut holds back all bytes from now on.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.healed:
		r.healed = make(chan struct{})
	default:
	}
}

// heal lets bytes pass again.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.healed:
	default:
		close(r.healed)
	}
}

// passable returns a channel that is closed once bytes may pass.
func (r *relay) passable() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

// close ends the relay and its connections.
func (r *relay) close() {
	_ = r.lis.Close() // nothing is lost by it
	r.heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close() // it is given up
	}
}

// track remembers a connection for close. It reports false after close.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close() // it is given up
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close() // both directions have ended
}

func (r *relay) accept() {
	for {
		in, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

// serve passes one connection on; its start takes one round trip.
func (r *relay) serve(in net.Conn) {
	if !r.track(in) {
		return
	}
	defer r.untrack(in)
	time.Sleep(2 * r.delay)
	<-r.passable()
	out, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(out) {
		return
	}
	defer r.untrack(out)
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(out, in) })
	pumps.Go(func() { r.pump(in, out) })
	pumps.Wait()
}

// pump passes on what comes in one direction and then ends that direction.
func (r *relay) pump(to, from net.Conn) {
	chunks := make(chan chunk, queueChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{data: buf[:n], due: time.Now().Add(r.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		<-r.passable()
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	time.Sleep(r.delay)
	<-r.passable()
	_ = to.Close() // a half that has ended ends the other as well
	_ = from.Close()
	for range chunks { // the reader must not wait for room
	}
}
