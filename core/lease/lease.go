// Package lease decides who may serve. Table is control's side: it grants
// leases to proxies and knows when every proxy acts on a view or has lost its
// lease. Holder is the proxy's side.
package lease

import "time"

// provisionalDivisor is the part of a managed target's connections that a proxy
// uses before control has divided them: the deployments at hand have 4 to 7.
const provisionalDivisor = 8

// Times of leases.
const (
	// Duration is how long a lease lasts from the request that it answers.
	Duration = 1500 * time.Millisecond
	// driftMargin is what the clocks of a proxy and of control may differ by
	// within one Duration. The proxy ends its lease that much earlier, and
	// control counts on it that much longer.
	driftMargin = Duration / 10
	// requestInterval is the time between two requests of a proxy.
	requestInterval = 300 * time.Millisecond
	// answerTimeout is how long a proxy waits before it asks another host.
	answerTimeout = 200 * time.Millisecond
	// redirectDelay is how long a proxy waits after a host said that it does
	// not lead and knows no leader.
	redirectDelay = 50 * time.Millisecond
	// hurryInterval is the least time between two requests.
	hurryInterval = 20 * time.Millisecond
	// seenBound is how long the shards of a proxy may take to act on a view
	// before its lease is no longer extended.
	seenBound = time.Second
	// forgetAfter is how long a silent proxy stays registered.
	forgetAfter = 15 * time.Second
	// sweepInterval is the time between two searches for proxies to forget.
	sweepInterval = time.Second
)
