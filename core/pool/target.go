package pool

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// exchangesPerSlot is the number of exchanges in flight for each slot of the
	// share. The second one hides the round trip to the target.
	exchangesPerSlot = 2
	// minConnections is the number of connections kept open without load.
	minConnections = 1
	// idleTimeout is how long a connection that other proxies may use too stays open
	// without use, keptNoneIdleTimeout where the proxy keeps none of its own, and
	// contendedIdleTimeout while the target has no free connections. A new connection
	// takes 12 ms of a slot of the target.
	idleTimeout          = 300 * time.Millisecond
	keptNoneIdleTimeout  = time.Second
	contendedIdleTimeout = 100 * time.Millisecond
	// Each connection that a target rejects because of its limit halves the idle
	// timeout, down to minIdleTimeout, and each that it accepts adds idleTimeoutStep.
	minIdleTimeout  = 50 * time.Millisecond
	idleTimeoutStep = 5 * time.Millisecond
	// keptIdleTimeout is how long a kept connection to a managed target stays open
	// without use. Such targets close it after a minute, which shows only once a
	// request was sent.
	keptIdleTimeout = 45 * time.Second
	// fullDuration is how long a target counts as full after it rejected a connection.
	fullDuration = 500 * time.Millisecond
	// minDialBackoff and maxDialBackoff bound the backoff after failed dials.
	minDialBackoff = 20 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// maxDialBackoffWaiting bounds the backoff while requests of the service wait,
	// since callers expect an answer within 400 to 1200 ms.
	maxDialBackoffWaiting = 200 * time.Millisecond
)

// Target holds the connections to one target, within the proxy's share of it.
type Target struct {
	Ref types.TargetRef

	address        types.Address
	share          types.Share
	conns          []*Conn       // in order of ID
	dialFailures   int           // dials that failed since the last success
	dialFailedAt   types.Instant // when the last of them failed
	rejectedAt     types.Instant // when the target last rejected a connection because of its limit, or zero
	extraExchanges int           // exchanges allowed beyond those of the share's slots
	counts         types.ConnCounts

	learntIdleTimeout time.Duration // as long as other proxies find room at the target

	failedOrganisation types.OrganisationName // that the last failed dial was for
	turnBegan          types.Instant          // when a connection that was needed was last closed for another organisation
}

// NewTarget returns a target without a share.
func NewTarget(ref types.TargetRef) *Target {
	return &Target{Ref: ref, learntIdleTimeout: keptNoneIdleTimeout}
}

// Update sets the target's address and the proxy's share of it. It drops and returns
// the connections that must be closed.
func (t *Target) Update(addr types.Address, share types.Share) []*Conn {
	if addr != t.address {
		t.dialFailures = 0
	}
	t.address, t.share = addr, share
	var closed []*Conn
	for _, c := range append([]*Conn(nil), t.conns...) {
		if c.state != InUse && t.exceedsShare(c) {
			t.Drop(c)
			closed = append(closed, c)
		}
	}
	return closed
}

// exceedsShare reports whether the connection has an earlier address of the target, or
// there are more connections than the share allows.
func (t *Target) exceedsShare(c *Conn) bool {
	return c.Address != t.address || len(t.conns) > t.share.Connections
}

// CloseIdle drops and returns the connections that have been idle for too long, the least
// recently used first.
func (t *Target) CloseIdle(now types.Instant) []*Conn {
	var closed []*Conn
	for {
		c := t.leastRecentlyUsed(func(c *Conn) bool { at := t.closeAt(c); return at != 0 && now >= at })
		if c == nil {
			return closed
		}
		t.Drop(c)
		closed = append(closed, c)
	}
}

// closeAt returns when an idle connection is to be closed if it isn't used, or zero.
func (t *Target) closeAt(c *Conn) types.Instant {
	switch {
	case len(t.conns) > t.kept():
		return c.idleSince.Add(t.idleTimeout())
	case c.Organisation != "" || t.share.Shared > 0:
		return c.idleSince.Add(keptIdleTimeout)
	}
	return 0
}

// leastRecentlyUsed returns the connection that has been idle for the longest time among
// those that match, or nil.
func (t *Target) leastRecentlyUsed(match func(*Conn) bool) *Conn {
	var oldest *Conn
	for _, c := range t.conns {
		if c.state == Idle && (oldest == nil || c.idleSince < oldest.idleSince) && match(c) {
			oldest = c
		}
	}
	return oldest
}

// NextIdleClose returns when CloseIdle may drop a connection next, or zero.
func (t *Target) NextIdleClose() types.Instant {
	var next types.Instant
	for _, c := range t.conns {
		if at := t.closeAt(c); c.state == Idle && at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

func (t *Target) idleTimeout() time.Duration {
	switch {
	case t.share.Contended:
		return min(contendedIdleTimeout, t.learntIdleTimeout)
	case t.kept() == 0:
		return t.learntIdleTimeout
	}
	return min(idleTimeout, t.learntIdleTimeout)
}

// kept returns how many connections stay open without use.
func (t *Target) kept() int { return t.share.Connections - t.share.Shared }

// Share returns the share that Update last set.
func (t *Target) Share() types.Share { return t.share }

// Counts returns the counts of the connections so far.
func (t *Target) Counts() types.ConnCounts { return t.counts }

// Open returns the number of connections that are open or being dialed.
func (t *Target) Open() int { return len(t.conns) }

// InUse returns the number of connections that sessions use.
func (t *Target) InUse() int { return t.countState(InUse) }

// ConnsInUse returns the connections that sessions use.
func (t *Target) ConnsInUse() []*Conn {
	var conns []*Conn
	for _, c := range t.conns {
		if c.state == InUse {
			conns = append(conns, c)
		}
	}
	return conns
}

// InFlight returns the number of exchanges in flight.
func (t *Target) InFlight() int {
	n := 0
	for _, c := range t.conns {
		if c.inFlight {
			n++
		}
	}
	return n
}

// Limit returns how many exchanges may be in flight before others wait.
func (t *Target) Limit() int {
	return max(t.shareLimit(), min(t.shareLimit()+t.extraExchanges, t.share.Connections))
}

// shareLimit returns how many exchanges in flight the share's slots allow.
func (t *Target) shareLimit() int { return max(1, exchangesPerSlot*t.share.Slots) }

// RaiseLimit allows one more exchange in flight, up to twice what the share allows. It is
// called when requests wait in this proxy while the target has spare capacity.
func (t *Target) RaiseLimit() { t.extraExchanges = min(t.extraExchanges+1, t.shareLimit()) }

// LowerLimit halves the number of exchanges that RaiseLimit has added.
func (t *Target) LowerLimit() { t.extraExchanges /= 2 }

// Reachable reports whether the proxy has a share of the target, and the last dial
// didn't fail or an earlier connection is still open. A target that rejected the last
// connection because of its limit may have room after a while.
func (t *Target) Reachable(now types.Instant) bool {
	opening := t.countState(Dialing)
	return t.share.Connections > 0 && (t.dialFailures == 0 || opening < len(t.conns) || t.lastRejected() && opening == 0 && !t.Full(now))
}

// lastRejected reports whether the last dial failed because of the target's limit.
func (t *Target) lastRejected() bool {
	return t.dialFailures > 0 && t.rejectedAt != 0 && t.rejectedAt == t.dialFailedAt
}

// Ready reports whether Acquire would return a connection for the organisation.
func (t *Target) Ready(organisation types.OrganisationName) bool {
	return t.InFlight() < t.Limit() && t.idleConn(organisation) != nil
}

// Acquire assigns an idle connection of the organisation to a session, or returns nil. It
// prefers the one that needs the fewest operations to get the setup that the session needs.
func (t *Target) Acquire(owner types.SessionID, organisation types.OrganisationName, want *types.Setup) *Conn {
	if t.InFlight() >= t.Limit() {
		return nil
	}
	best := t.idleConn(organisation)
	if best == nil {
		return nil
	}
	for _, c := range t.conns {
		if t.serves(c, organisation) && c.missingCount(want) < best.missingCount(want) {
			best = c
		}
	}
	best.state, best.Owner = InUse, owner
	return best
}

// idleConn returns the organisation's idle connection that was opened first, or nil. Using
// the same connections leaves the others idle, so that they can be closed when the share
// shrinks.
func (t *Target) idleConn(organisation types.OrganisationName) *Conn {
	for _, c := range t.conns {
		if t.serves(c, organisation) {
			return c
		}
	}
	return nil
}

// serves reports whether a request of the organisation may run on the connection now.
func (t *Target) serves(c *Conn, organisation types.OrganisationName) bool {
	return c.state == Idle && c.Address == t.address && c.Organisation == organisation
}

// Release makes a connection idle that has no exchange or transaction in progress. It
// reports false if the connection was dropped instead and must be closed.
func (t *Target) Release(c *Conn, now types.Instant) bool {
	c.state, c.Owner, c.idleSince = Idle, 0, now
	if t.exceedsShare(c) {
		t.Drop(c)
		return false
	}
	return true
}

// Drop removes a connection from the pool.
func (t *Target) Drop(c *Conn) {
	for i, have := range t.conns {
		if have == c {
			t.conns = append(t.conns[:i], t.conns[i+1:]...)
			return
		}
	}
}

// Connected marks a dialed connection as idle. It returns the number of dials that had
// failed since the last success.
func (t *Target) Connected(c *Conn, now types.Instant) int {
	c.state, c.idleSince = Idle, now
	t.counts.Opened++
	t.learntIdleTimeout = min(keptNoneIdleTimeout, t.learntIdleTimeout+idleTimeoutStep)
	failed := t.dialFailures
	t.dialFailures = 0
	return failed
}

// DialFailed drops a connection whose dial failed and starts or extends the backoff. full
// tells whether the target rejected it because of its limit. It reports whether this is
// the first failure since the last success.
func (t *Target) DialFailed(c *Conn, full bool, now types.Instant) bool {
	t.Drop(c)
	if full {
		t.counts.Rejected++
		t.learntIdleTimeout = max(minIdleTimeout, t.learntIdleTimeout/2)
		t.rejectedAt = now
	}
	t.dialFailures++
	t.dialFailedAt, t.failedOrganisation = now, c.Organisation
	return t.dialFailures == 1
}

// Full reports whether the target rejected a connection because of its limit recently.
func (t *Target) Full(now types.Instant) bool {
	return t.rejectedAt != 0 && now.Sub(t.rejectedAt) < fullDuration
}

// NextDialAt returns when the next dial is allowed after failed ones, or zero if the last
// dial succeeded.
func (t *Target) NextDialAt(serviceWaiting bool) types.Instant {
	if t.dialFailures == 0 {
		return 0
	}
	limit := maxDialBackoff
	if serviceWaiting {
		limit = maxDialBackoffWaiting
	}
	return t.dialFailedAt.Add(retry.ExponentialDelay(minDialBackoff, limit, t.dialFailures-1))
}

func (t *Target) countState(s State) int {
	n := 0
	for _, c := range t.conns {
		if c.state == s {
			n++
		}
	}
	return n
}
