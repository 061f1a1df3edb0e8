package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Times of reads on replicas of a managed service that do not answer.
const (
	// attemptTimeout is the least time that a replica has for a read before
	// another member is asked. Statements on the platforms at hand take up to
	// 0.4 s.
	attemptTimeout = 400 * time.Millisecond
	// attemptLatencyFactor is how many times the mean time of an answer it has.
	attemptLatencyFactor = 6
	// baseEjectionTime and maxAvoid bound how long a replica that gave no answer gets
	// no new work. The time doubles with each failure in a row. Chosen: half of
	// attemptTimeout, so that the next try comes soon, up to the time between two
	// tries to connect.
	baseEjectionTime = 200 * time.Millisecond
	maxEjectionTime  = 2 * time.Second
)

// attemptDeadline returns until when the request waits for its target's answer
// before another one is asked, and whether it may be asked.
func (s *Shard) attemptDeadline(r *request) (types.Instant, bool) {
	t := r.service.target(r.target)
	if !r.replica || r.inTx || r.slowChecked || !r.repeatable() || !t.steady(s.now) || !r.service.managed(s.view) || !r.service.budget.Left() {
		return 0, false
	}
	return r.sentAt.Add(max(attemptTimeout, attemptLatencyFactor*t.stats.Latency())), true
}

// attemptTimedOut asks another member for a read that a replica has not answered,
// unless it answers others.
func (s *Shard) attemptTimedOut(r *request) {
	if r.service.target(r.target).lastContact > r.sentAt {
		r.slowChecked = true
		s.armSessionTimer(r.session)
		return
	}
	s.attemptFailed(r, true, types.RefuseTimeout,
		fmt.Sprintf("replica %s has not answered for %s", r.target, s.now.Sub(r.sentAt)))
}

// eject keeps new work from a replica that gave no answer.
func (t *target) eject(now types.Instant) {
	t.ejectedUntil = now.Add(retry.Doubled(baseEjectionTime, maxEjectionTime, t.consecutiveFailures))
	t.consecutiveFailures++
}
