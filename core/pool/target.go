package pool

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// exchangesPerSlot is how many exchanges may be under way for each slot
	// of the share. The second one hides the round trip to the target.
	exchangesPerSlot = 2
	// warmConnections are kept open without load.
	warmConnections = 1
	// firstDialBackoff and maxDialBackoff bound the pause after failed dials.
	firstDialBackoff = 20 * time.Millisecond
	maxDialBackoff   = 2 * time.Second
	// wantedDialBackoff bounds the pause while requests of the service wait.
	// Callers at hand expect an answer within 400 to 1200 ms.
	wantedDialBackoff = 200 * time.Millisecond
)

// Target holds the connections to one target, within the proxy's share of it.
type Target struct {
	Ref types.TargetRef

	address  types.Address
	share    types.Share
	conns    []*Conn       // in order of their ids
	failures int           // dials that failed since the last success
	failedAt types.Instant // the last of them
	extra    int           // exchanges beside those of the share's slots
}

// NewTarget returns a target without a share.
func NewTarget(ref types.TargetRef) *Target { return &Target{Ref: ref} }

// Update takes in the target's address and the proxy's share of it. It drops
// and returns the connections that must be closed.
func (t *Target) Update(addr types.Address, share types.Share) []*Conn {
	if addr != t.address {
		t.failures = 0
	}
	t.address, t.share = addr, share
	var closed []*Conn
	for _, c := range append([]*Conn(nil), t.conns...) {
		if c.state != Taken && t.surplus(c) {
			t.Drop(c)
			closed = append(closed, c)
		}
	}
	return closed
}

// surplus reports whether the connection has no place in the share.
func (t *Target) surplus(c *Conn) bool {
	return c.Address != t.address || len(t.conns) > t.share.Connections
}

// Share returns the share that Update last brought.
func (t *Target) Share() types.Share { return t.share }

// Open returns how many connections are open or being opened.
func (t *Target) Open() int { return len(t.conns) }

// Taken returns how many connections belong to sessions.
func (t *Target) Taken() int { return t.count(Taken) }

// TakenConns returns the connections that belong to sessions.
func (t *Target) TakenConns() []*Conn {
	var taken []*Conn
	for _, c := range t.conns {
		if c.state == Taken {
			taken = append(taken, c)
		}
	}
	return taken
}

// InFlight returns how many exchanges are under way.
func (t *Target) InFlight() int {
	n := 0
	for _, c := range t.conns {
		if c.inFlight {
			n++
		}
	}
	return n
}

// Limit returns how many exchanges may be under way before others wait.
func (t *Target) Limit() int { return max(t.own(), min(t.own()+t.extra, t.share.Connections)) }

// own returns how many exchanges the share's slots allow.
func (t *Target) own() int { return max(1, exchangesPerSlot*t.share.Slots) }

// Widen allows one more exchange, up to twice the share's: others wait here while
// the target has room.
func (t *Target) Widen() { t.extra = min(t.extra+1, t.own()) }

// Narrow halves what Widen has allowed.
func (t *Target) Narrow() { t.extra /= 2 }

// Reachable reports whether the target has a share and was not found down by
// the last dial.
func (t *Target) Reachable() bool {
	return t.share.Connections > 0 && (t.failures == 0 || t.count(Dialing) < len(t.conns))
}

// Ready reports whether Take would return a connection.
func (t *Target) Ready() bool { return t.InFlight() < t.Limit() && t.idle() != nil }

// Take gives an idle connection to a session, or returns nil. It prefers the one
// that lacks the least of what the session needs.
func (t *Target) Take(owner types.SessionID, want *types.Setup) *Conn {
	if t.InFlight() >= t.Limit() {
		return nil
	}
	best := t.idle()
	if best == nil {
		return nil
	}
	for _, c := range t.conns {
		if c.state == Idle && c.Address == t.address && c.missing(want) < best.missing(want) {
			best = c
		}
	}
	best.state, best.Owner = Taken, owner
	return best
}

// idle returns the idle connection that was opened last, so that the others
// can be closed when the share shrinks.
func (t *Target) idle() *Conn {
	for _, c := range t.conns {
		if c.state == Idle && c.Address == t.address {
			return c
		}
	}
	return nil
}

// Release takes a clean connection back. It reports false when the connection
// was dropped instead and must be closed.
func (t *Target) Release(c *Conn) bool {
	c.state, c.Owner = Idle, 0
	if t.surplus(c) {
		t.Drop(c)
		return false
	}
	return true
}

// Drop forgets a connection.
func (t *Target) Drop(c *Conn) {
	for i, have := range t.conns {
		if have == c {
			t.conns = append(t.conns[:i], t.conns[i+1:]...)
			return
		}
	}
}

// Dials returns how many connections to open now for the given number of
// requests that wait for the target. busy tells that requests of its service
// wait, perhaps for another one.
func (t *Target) Dials(waiting int, busy bool, now types.Instant) int {
	if t.address == "" || now < t.DialAt(busy) {
		return 0
	}
	spare := t.count(Idle) + t.count(Dialing)
	wanted := max(warmConnections, min(waiting, t.Limit()-t.InFlight()))
	n := min(wanted-spare, t.share.Connections-len(t.conns))
	if t.failures > 0 {
		n = min(n, 1-t.count(Dialing))
	}
	return max(0, n)
}

// Dial adds a connection that is being opened.
func (t *Target) Dial(id types.ConnID) *Conn {
	c := &Conn{ID: id, Ref: t.Ref, Address: t.address}
	t.conns = append(t.conns, c)
	return c
}

// Connected marks a dialed connection as usable. It returns how many dials had
// failed since the last success.
func (t *Target) Connected(c *Conn) int {
	c.state = Idle
	failed := t.failures
	t.failures = 0
	return failed
}

// DialFailed forgets a connection and holds further dials back. It reports
// whether the one before had succeeded.
func (t *Target) DialFailed(c *Conn, now types.Instant) bool {
	t.Drop(c)
	t.failures++
	t.failedAt = now
	return t.failures == 1
}

// DialAt returns when the next dial is allowed after a failed one, or zero.
func (t *Target) DialAt(busy bool) types.Instant {
	if t.failures == 0 {
		return 0
	}
	limit := maxDialBackoff
	if busy {
		limit = wantedDialBackoff
	}
	return t.failedAt.Add(retry.ExponentialDelay(firstDialBackoff, limit, t.failures-1))
}

func (t *Target) count(s State) int {
	n := 0
	for _, c := range t.conns {
		if c.state == s {
			n++
		}
	}
	return n
}
