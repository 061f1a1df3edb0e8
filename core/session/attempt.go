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
	// attemptMargin is how many times the mean time of an answer it has.
	attemptMargin = 6
	// firstAvoid and maxAvoid bound how long a replica that gave no answer gets
	// no new work. The time doubles with each failure in a row. Chosen: half of
	// attemptTimeout, so that the next try comes soon, up to the time between two
	// tries to connect.
	firstAvoid = 200 * time.Millisecond
	maxAvoid   = 2 * time.Second
)

// attemptUntil returns until when the request waits for its target's answer
// before another one is asked, and whether it may be asked.
func (s *Shard) attemptUntil(r *request) (types.Instant, bool) {
	t := r.service.target(r.target)
	if !r.replica || r.inTx || r.checked || !r.repeatable() || !t.steady(s.now) || !r.service.managed(s.view) || !r.service.budget.Available() {
		return 0, false
	}
	return r.sentAt.Add(max(attemptTimeout, attemptMargin*t.stats.Latency())), true
}

// attemptOver asks another member for a read that a replica has not answered,
// unless it answers others.
func (s *Shard) attemptOver(r *request) {
	if r.service.target(r.target).heardAt > r.sentAt {
		r.checked = true
		s.armSession(r.session)
		return
	}
	s.attemptFailed(r, true, types.RefuseTimeout,
		fmt.Sprintf("replica %s has not answered for %s", r.target, s.now.Sub(r.sentAt)))
}

// failed keeps new work from a replica that gave no answer.
func (t *target) failed(now types.Instant) {
	t.avoidUntil = now.Add(retry.ExponentialDelay(firstAvoid, maxAvoid, t.failures))
	t.failures++
}
