package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// sessionTimer returns the id of a session's timer.
func sessionTimer(id types.SessionID) event.TimerID {
	return event.TimerID{Domain: event.DomainSession, Key: uint64(id)}
}

// armSessionTimer sets the session's timer to its next deadline and updates the
// shard's counts.
func (s *Shard) armSessionTimer(c *session) {
	s.updateCounts(c)
	at := s.nextDeadline(c)
	if at == c.timerAt {
		return
	}
	c.timerAt = at
	if at == 0 {
		s.emit(effect.StopTimer{ID: sessionTimer(c.id)})
		return
	}
	s.emit(effect.ArmTimer{ID: sessionTimer(c.id), At: max(at, s.now+1)})
}

// nextDeadline returns the earliest deadline of the session's request and
// transaction, or zero.
func (s *Shard) nextDeadline(c *session) types.Instant {
	var at types.Instant
	if r := c.request; r != nil {
		at = s.requestDeadline(r)
	}
	if until, ok := s.transactionDeadline(c); ok && (at == 0 || until < at) {
		at = until
	}
	return at
}

// requestDeadline returns when the request's stage ends or, earlier, when its
// target counts as slow.
func (s *Shard) requestDeadline(r *request) types.Instant {
	at := r.stageDeadline(s.now)
	if s.drainUntil != 0 {
		at = min(at, s.drainUntil)
	}
	if r.stage != stageRunning {
		return at
	}
	if until, ok := s.attemptDeadline(r); ok {
		at = min(at, until)
	}
	if suspect, ok := s.suspectDeadline(r); ok {
		at = min(at, suspect)
	}
	return at
}

// stageDeadline returns when the request's current stage ends.
func (r *request) stageDeadline(now types.Instant) types.Instant {
	switch r.stage {
	case stageFloor:
		if until := r.floorDeadline(); now < until {
			return until
		}
		return r.queueDeadline
	case stageQueued, stageLease:
		return r.queueDeadline
	case stageBackoff:
		return r.retryAt
	case stageQuota:
		return min(r.retryAt, r.quotaDeadline)
	}
	return r.deadline
}

// transactionDeadline returns when the session's open transaction must end, and
// whether it has a deadline: one applies if its target is leaving, its caller is
// idle or the proxy is stopping. A statement in progress is answered before a
// transaction ends because the proxy stops.
func (s *Shard) transactionDeadline(c *session) (types.Instant, bool) {
	if !c.inTransaction() {
		return 0, false
	}
	svc := s.services[c.service]
	until, bounded := svc.departures.Deadline(c.conn.Ref.Name, c.profile.DrainTimeout)
	if idle, ok := s.idleDeadline(c); ok && (!bounded || idle < until) {
		until, bounded = idle, true
	}
	if c.request == nil && s.drainUntil != 0 && (!bounded || s.transactionsUntil < until) {
		until, bounded = s.transactionsUntil, true
	}
	return until, bounded
}

// idleDeadline returns until when a transaction may wait for its caller's next
// statement, and whether there is a limit.
func (s *Shard) idleDeadline(c *session) (types.Instant, bool) {
	if c.request != nil || s.view == nil || s.view.Cluster == nil || s.view.Cluster.Config == nil {
		return 0, false
	}
	limit := s.view.Cluster.Config.TransactionIdle
	return c.lastAnswerAt.Add(limit), limit > 0
}

// sessionTimerFired handles the deadline that a session's timer was set for.
func (s *Shard) sessionTimerFired(c *session) {
	c.timerAt = 0
	if until, ok := s.transactionDeadline(c); ok && s.now >= until {
		s.endTransaction(c, types.RefuseTransactionLost, s.transactionEndReason(c))
		return
	}
	if r := c.request; r != nil && s.requestDeadlineReached(r) {
		s.handleRequestDeadline(r)
		return
	}
	s.armSessionTimer(c)
}

// transactionEndReason says why a transaction may not continue.
func (s *Shard) transactionEndReason(c *session) string {
	if idle, ok := s.idleDeadline(c); ok && s.now >= idle {
		return fmt.Sprintf("the transaction was idle for %s", s.now.Sub(c.lastAnswerAt))
	}
	if s.drainUntil != 0 && s.now >= s.transactionsUntil {
		return "the proxy is stopping"
	}
	return leavingReason(c.conn.Ref.Name)
}

// endTransaction ends a transaction that can no longer be committed, and its
// session.
func (s *Shard) endTransaction(c *session, code types.RefusalCode, reason string) {
	if r := c.request; r != nil {
		r.mayHaveRun = true
		s.refuse(r, code, r.outcome(), reason)
		return
	}
	s.endSession(c, refusal(code, types.NotRun, reason))
}

// requestDeadlineReached reports whether a deadline of the request has passed.
func (s *Shard) requestDeadlineReached(r *request) bool {
	return s.now >= s.requestDeadline(r) || r.stage == stageFloor && s.now >= r.floorDeadline()
}

// handleRequestDeadline retries, rechecks or refuses a request at a deadline of
// its stage.
func (s *Shard) handleRequestDeadline(r *request) {
	if s.drainUntil != 0 && s.now >= s.drainUntil {
		s.refuseStopping(r)
		return
	}
	switch r.stage {
	case stageFloor:
		if s.now < r.queueDeadline {
			delete(r.service.waiting, r)
			s.place(r)
			return
		}
		s.refuse(r, s.unavailableCode(r), r.outcome(), "no log position of the group's primary was received in time")
	case stageQueued:
		s.refuseQueued(r)
	case stageBackoff:
		if r.inTx {
			s.startPinned(r)
			return
		}
		r.queueDeadline = min(r.deadline, s.now.Add(orDefault(r.profile.QueueTimeout, defaultQueueTimeout)))
		s.place(r)
	case stageRunning:
		if s.now < r.deadline {
			s.checkSlowTarget(r)
			return
		}
		if r.replica && r.service.target(r.target).lastContact <= r.sentAt {
			r.service.target(r.target).eject(s.now)
		}
		s.recordFailure(r)
		r.mayHaveRun = r.mayHaveRun || r.mayBeExecuting()
		s.suspectIfPrimary(r)
		s.refuse(r, types.RefuseTimeout, r.outcome(), fmt.Sprintf("target %s did not answer within %s", r.target, s.now.Sub(r.sentAt)))
	case stageDurable:
		s.refuseNotDurable(r)
	case stageLease:
		s.refuse(r, s.unavailableCode(r), r.outcome(), "the proxy holds no lease on a confirmed primary")
	case stageQuota:
		s.recheckRight(r)
	}
}

// refuseStopping refuses a request that is not answered at the end of the drain.
func (s *Shard) refuseStopping(r *request) {
	r.mayHaveRun = r.mayHaveRun || r.mayBeExecuting()
	outcome := r.outcome()
	if r.stage == stageDurable {
		outcome = types.Unknown
	}
	s.refuse(r, types.RefuseDraining, outcome, "the proxy is stopping")
}

// checkSlowTarget handles a request whose target counts as slow: a read on a
// replica may move to another member, and a primary that has answered nothing
// since the request was sent becomes suspect.
func (s *Shard) checkSlowTarget(r *request) {
	if r.replica {
		s.attemptTimedOut(r)
		return
	}
	r.slowChecked = true
	if r.service.target(r.target).lastContact <= r.sentAt {
		s.suspectIfPrimary(r)
	}
	s.armSessionTimer(r.session)
}

// unavailableCode returns the refusal code for a service that can't be served.
func (s *Shard) unavailableCode(r *request) types.RefusalCode {
	if !s.leaseLive() {
		return types.RefuseNoLease
	}
	return types.RefuseNoPrimary
}

// refuseQueued refuses a request whose time in the queue is over.
func (s *Shard) refuseQueued(r *request) {
	q := r.service.queues[r.queueKey]
	switch {
	case !s.leaseLive():
		s.refuse(r, types.RefuseNoLease, r.outcome(), "the proxy's lease has expired")
	case len(s.queueTargets(r.service, q)) == 0:
		s.refuse(r, types.RefuseNoPrimary, r.outcome(), "the group has no primary")
	case s.now >= r.deadline:
		s.refuse(r, types.RefuseTimeout, r.outcome(), "no connection became free in time")
	default:
		s.refuse(r, types.RefuseOverloaded, r.outcome(), "no connection became free in time")
	}
}

// refuseNotDurable refuses a write that was not confirmed as durable in time. Its
// outcome is unknown.
func (s *Shard) refuseNotDurable(r *request) {
	if r.service.managed(s.view) {
		s.refuseUnconfirmed(r)
		return
	}
	code := types.RefuseNotDurable
	if !s.leaseLive() {
		code = types.RefuseNoLease
	}
	s.refuse(r, code, types.Unknown, fmt.Sprintf("no majority of the members confirmed position %s in time", r.status.Pos))
}
