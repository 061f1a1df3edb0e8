package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits for reads on replicas of a managed service that do not answer.
const (
	// attemptTimeout is the shortest time that a replica gets for a read before
	// the read is sent to another member. Long statements take up to 0.4 s.
	attemptTimeout = 400 * time.Millisecond
	// attemptLatencyFactor multiplies the target's mean latency; a replica gets
	// the product if it is longer than attemptTimeout.
	attemptLatencyFactor = 6
	// baseEjectionTime and maxEjectionTime bound how long a replica that did not
	// answer gets no new reads. The time doubles with each consecutive failure.
	// It starts at half of attemptTimeout, so that the replica is retried soon,
	// and ends at the interval between two connection attempts.
	baseEjectionTime = 200 * time.Millisecond
	maxEjectionTime  = 2 * time.Second
)

// attemptDeadline returns when to stop waiting for the target's answer and send
// the request to another member, and whether the request may be sent again.
func (s *Shard) attemptDeadline(r *request) (types.Instant, bool) {
	t := r.service.target(r.target)
	if !r.replica || r.inTx || r.slowChecked || !r.repeatable() || !r.service.managed(s.view) || !r.service.budget.Available() {
		return 0, false
	}
	if s.judges(r) && t.lastRunAt != 0 {
		return r.sentAt.Add(max(r.lossTimeout(), attemptLatencyFactor*t.stats.Latency())), true
	}
	if !t.steady(s.now) {
		return 0, false
	}
	return r.sentAt.Add(max(attemptTimeout, attemptLatencyFactor*t.stats.Latency())), true
}

// attemptTimedOut sends a read to another member after a replica has not answered
// it in time. A replica that has answered other requests since then keeps it.
func (s *Shard) attemptTimedOut(r *request) {
	if r.service.target(r.target).lastContact > r.sentAt && !s.judges(r) {
		r.slowChecked = true
		s.armSessionTimer(r.session)
		return
	}
	s.attemptFailed(r, true, types.RefuseTimeout,
		fmt.Sprintf("replica %s has not answered for %s", r.target, s.now.Sub(r.sentAt)))
}

// eject withholds new reads for a while from a replica that did not answer.
func (t *target) eject(now types.Instant) {
	t.ejectedUntil = now.Add(retry.ExponentialDelay(baseEjectionTime, maxEjectionTime, t.consecutiveFailures))
	t.consecutiveFailures++
}
