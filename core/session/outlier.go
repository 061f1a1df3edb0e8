package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/outlier"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// lossObjectiveDivisor divides a profile's objective into the time after which an answer of a
// replica counts as lost, so that another one can still answer in time.
const lossObjectiveDivisor = 2

// judges reports whether the result of the request counts for or against its target: it was
// sent to a replica, which may be ejected, and few results are enough since this proxy gets
// no more.
func (s *Shard) judges(r *request) bool {
	return r.replica && r.service.managed(s.view) && s.crowded(r.service, s.view.Group(r.service.name))
}

// allows reports whether a read may be sent to a replica as far as the results of earlier
// requests go.
func (s *Shard) allows(r *request, name types.TargetName) bool {
	return name != r.failedOn && r.service.outliers.Allows(name, s.now)
}

// failedByTarget reports whether a replica is to blame for an error.
func (s *Shard) failedByTarget(r *request, res types.Result) bool {
	return res.Err == types.TargetErrFailed && s.judges(r)
}

// recordResult records what an answer says of its target. A rejection says nothing.
func (s *Shard) recordResult(r *request, res types.Result) {
	if executed(res) && s.judges(r) {
		s.observeOutlier(r, res.Err == types.TargetErrFailed)
	}
}

// recordFailure records that a request got no answer.
func (s *Shard) recordFailure(r *request) {
	if s.judges(r) {
		r.failedOn = r.target
		s.observeOutlier(r, true)
	}
}

func (s *Shard) observeOutlier(r *request, failed bool) {
	ref := types.TargetRef{Service: r.service.name, Name: r.target}
	members := len(s.view.Group(ref.Service).Members)
	switch r.service.outliers.Observe(r.target, failed, members, s.now) {
	case outlier.Ejected:
		s.recordTargetDecision(effect.DecideEjected, ref, "it fails part of the requests")
	case outlier.Returned:
		s.recordTargetDecision(effect.DecideReturned, ref, "it has answered several requests in a row")
	}
}

// retryElsewhere sends a read that a replica failed to another member. It reports false if
// the read may not run twice or the service's retry budget is spent.
func (s *Shard) retryElsewhere(r *request, res types.Result) bool {
	if r.inTx || !r.repeatable() || res.Tx != types.TxIdle {
		return false
	}
	conn := r.conn
	reason := fmt.Sprintf("replica %s failed the request", r.target)
	if !s.retry(r, reason) {
		return false
	}
	s.chargeQuota(r, true)
	r.conn, r.failedOn = nil, r.target
	s.release(conn)
	return true
}

// lossTimeout returns after which time an answer may count as lost.
func (r *request) lossTimeout() time.Duration {
	if r.profile.Objective <= 0 {
		return attemptTimeout
	}
	return min(attemptTimeout, r.profile.Objective/lossObjectiveDivisor)
}
