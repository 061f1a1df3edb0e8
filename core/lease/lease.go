// Package lease implements the leases that allow proxies to serve. Table runs
// on a control host: it grants leases to proxies and determines when every proxy
// has applied a view or no longer holds a lease. Holder runs on a proxy: it renews
// the lease.
package lease

import "time"

// Durations and intervals of leases.
const (
	// Duration is the length of a lease, counted from the request that it answers.
	Duration = 1500 * time.Millisecond
	// driftMargin bounds by how much the clocks of a proxy and of a control host
	// may drift apart within one Duration. The proxy ends its lease that much
	// earlier, and the control host treats the lease as live that much longer.
	driftMargin = Duration / 10
	// requestInterval is the regular time between two requests of a proxy.
	requestInterval = 300 * time.Millisecond
	// minAnswerTimeout is how long a proxy waits for an answer before it sends the
	// next request to another control host. After requests without an answer it waits
	// longer, up to maxAnswerTimeout, which leaves a second try within a lease.
	minAnswerTimeout = 200 * time.Millisecond
	maxAnswerTimeout = 600 * time.Millisecond
	// redirectDelay is how long a proxy waits before it tries another control host, after
	// one that isn't the leader named no other leader. It waits longer each time, up to
	// maxRedirectDelay.
	redirectDelay    = 50 * time.Millisecond
	maxRedirectDelay = 200 * time.Millisecond
	// minRequestInterval is the minimum time between a request and one that is
	// sent early.
	minRequestInterval = 20 * time.Millisecond
	// pushesPerSecond bounds the views that a leader pushes to all proxies.
	pushesPerSecond = 1000
	// earlyRequestsPerSecond bounds the early requests of all proxies together.
	earlyRequestsPerSecond = 2000
	// viewApplyTimeout is how long the shards of a proxy may take to apply a
	// view. After that the proxy's lease is not extended.
	viewApplyTimeout = time.Second
	// removeAfter is how long a proxy that sends no requests stays registered.
	removeAfter = 15 * time.Second
	// sweepInterval is the time between two searches for proxies to remove.
	sweepInterval = time.Second
)
