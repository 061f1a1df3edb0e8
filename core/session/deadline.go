package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

func sessionTimer(id types.SessionID) event.TimerID {
	return event.TimerID{Domain: event.DomainSession, Key: uint64(id)}
}

// armSessionTimer sets the session's timer to the next instant at which something
// is due, and brings the shard's counts up to date.
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

// nextDeadline returns when something of the session is due, or zero.
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

// requestDeadline returns when something of the request is due.
func (s *Shard) requestDeadline(r *request) types.Instant {
	at := r.stageDeadline(s.now)
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

// stageDeadline returns when the request's present stage ends.
func (r *request) stageDeadline(now types.Instant) types.Instant {
	switch r.stage {
	case stageFloor:
		if until := r.floorDeadline(); now < until {
			return until
		}
		return r.queueDeadline
	case stageQueued:
		return r.queueDeadline
	case stageBackoff:
		return r.retryAt
	}
	return r.deadline
}

// transactionDeadline returns until when the session's transaction may go on, and
// whether there is a bound: its target leaves, or its caller has been idle.
func (s *Shard) transactionDeadline(c *session) (types.Instant, bool) {
	if !c.inTransaction() {
		return 0, false
	}
	svc := s.services[c.service]
	until, bounded := svc.departures.Deadline(c.conn.Ref.Name, c.profile.DrainTimeout)
	if idle, ok := s.idleDeadline(c); ok && (!bounded || idle < until) {
		until, bounded = idle, true
	}
	return until, bounded
}

// idleDeadline returns until when a transaction may wait for its caller's next
// statement.
func (s *Shard) idleDeadline(c *session) (types.Instant, bool) {
	if c.request != nil || s.view == nil || s.view.Cluster == nil || s.view.Cluster.Config == nil {
		return 0, false
	}
	limit := s.view.Cluster.Config.TransactionIdle
	return c.lastAnswerAt.Add(limit), limit > 0
}

// sessionTimerFired acts on what is due of a session.
func (s *Shard) sessionTimerFired(c *session) {
	c.timerAt = 0
	if until, ok := s.transactionDeadline(c); ok && s.now >= until {
		s.endTransaction(c, types.RefuseNotClean, s.transactionEndReason(c))
		return
	}
	if r := c.request; r != nil && s.requestDeadlineReached(r) {
		s.handleRequestDeadline(r)
		return
	}
	s.armSessionTimer(c)
}

// transactionEndReason says why a transaction may not go on.
func (s *Shard) transactionEndReason(c *session) string {
	if idle, ok := s.idleDeadline(c); ok && s.now >= idle {
		return fmt.Sprintf("the transaction was idle for %s", s.now.Sub(c.lastAnswerAt))
	}
	return leavingReason(c.conn.Ref.Name)
}

// endTransaction ends a transaction that can't be committed any more, and its
// session.
func (s *Shard) endTransaction(c *session, code types.RefusalCode, reason string) {
	if r := c.request; r != nil {
		r.mayHaveRun = true
		s.refuse(r, code, r.outcome(), reason)
		return
	}
	s.endSession(c, refusal(code, types.NotRun, reason))
}

// requestDeadlineReached reports whether the request's present stage ends now.
func (s *Shard) requestDeadlineReached(r *request) bool {
	return s.now >= s.requestDeadline(r) || r.stage == stageFloor && s.now >= r.floorDeadline()
}

func (s *Shard) handleRequestDeadline(r *request) {
	switch r.stage {
	case stageFloor:
		if s.now < r.queueDeadline {
			delete(r.service.waiting, r)
			s.place(r)
			return
		}
		s.refuse(r, s.unavailableCode(r), r.outcome(), "the group's primary gave no position in time")
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
		r.mayHaveRun = true
		s.suspectIfPrimary(r)
		s.refuse(r, types.RefuseTimeout, r.outcome(), fmt.Sprintf("target %s did not answer in time", r.target))
	case stageDurable:
		s.refuseNotDurable(r)
	}
}

// checkSlowTarget acts on a request whose target takes long.
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

// unavailableCode returns why nothing of the service can be served.
func (s *Shard) unavailableCode(r *request) types.RefusalCode {
	if !s.leaseLive() {
		return types.RefuseNoLease
	}
	return types.RefuseNoPrimary
}

func (s *Shard) refuseQueued(r *request) {
	q := r.service.queues[r.queueKey]
	switch {
	case !s.leaseLive():
		s.refuse(r, types.RefuseNoLease, r.outcome(), "the proxy's lease has run out")
	case len(s.queueTargets(r.service, q)) == 0:
		s.refuse(r, types.RefuseNoPrimary, r.outcome(), "the group has no primary")
	case s.now >= r.deadline:
		s.refuse(r, types.RefuseTimeout, r.outcome(), "no connection came free in time")
	default:
		s.refuse(r, types.RefuseOverloaded, r.outcome(), "no connection came free in time")
	}
}

func (s *Shard) refuseNotDurable(r *request) {
	code := types.RefuseNotDurable
	if !s.leaseLive() {
		code = types.RefuseNoLease
	}
	s.refuse(r, code, types.Unknown, fmt.Sprintf("no majority confirmed position %s in time", r.status.Pos))
}
