package session

import (
	"fmt"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// step is the exchange of a running request that is in progress. An exchange is
// one message to the target and its answer.
type step uint8

const (
	stepCaller   step = iota // the caller's statement alone
	stepClaim                // record the request's id, so that it runs at most once
	stepRun                  // the statement, after its id was recorded
	stepRecord               // store the answer and commit
	stepRollback             // roll back after the statement failed
	stepLookup               // fetch the answer of an earlier run
	stepFence                // begin a transaction, which a replaced primary refuses
	stepFenced               // the caller's read within it
	stepSetup                // give the connection the session's settings and prepared statements
)

// start gives a queued request a connection of the target and sends it.
func (s *Shard) start(r *request, name types.TargetName) {
	c := r.service.target(name).pool.Acquire(r.session.id, r.organisation, r.Setup)
	r.conn, r.target, r.replica = c, name, name != s.primaryOf(r.service)
	r.service.outliers.Sent(name, s.now)
	if !r.replica {
		r.floor = types.LogPos{}
	}
	r.observed.AssignedAt = s.now
	s.sendFirst(r)
}

// startPinned sends a request of an open transaction on the connection that is
// bound to the session.
func (s *Shard) startPinned(r *request) {
	c := r.session
	r.conn, r.target, r.replica = c.conn, c.conn.Ref.Name, c.onReplica
	r.observed.FloorKnownAt, r.observed.AssignedAt = s.now, s.now
	if at, ok := r.service.departures.Deadline(r.target, r.profile.DrainTimeout); ok && s.now >= at {
		s.refuse(r, types.RefuseTransactionLost, r.outcome(), leavingReason(r.target))
		return
	}
	if s.lacksLease(r) {
		s.awaitLease(r)
		return
	}
	s.sendFirst(r)
}

// leavingReason says why a transaction on a leaving target ends.
func leavingReason(t types.TargetName) string {
	return fmt.Sprintf("target %s is no longer active and the drain timeout of its transactions has passed", t)
}

// sendFirst sends the first exchange of a request. A statement is sent only once the
// connection has the session's setup, since a target that fails a part of the setup would
// still run what was sent behind it. BEGIN runs nothing, so the setup may go with it.
func (s *Shard) sendFirst(r *request) {
	switch {
	case s.needsFence(r):
		s.send(r, stepFence)
	case !r.BeginsTx && !r.conn.HasSetup(r.Setup):
		s.send(r, stepSetup)
	case r.ID != "":
		s.send(r, stepClaim)
	default:
		s.send(r, stepCaller)
	}
}

// send starts an exchange. A request of several exchanges fails between two of
// them if the lease has expired.
func (s *Shard) send(r *request, st step) {
	if s.needsLease(r) && !s.underLease(r) {
		s.attemptFailed(r, true, types.RefuseNoLease, "the proxy's lease expired before the request was complete")
		return
	}
	r.stage, r.step, r.sentAt, r.slowChecked = stageRunning, st, s.now, false
	r.sentTerm = s.expectedTerm(r)
	if r.service.managed(s.view) && r.target == r.service.primary.name {
		r.service.silence.requestSent(s.now)
	}
	r.sentUnderLease = s.leaseLive() && r.service.primary.leased
	r.selectedPos = r.service.health(s.view, r.target).Pos
	r.setup = r.conn.Missing(r.Setup)
	s.emit(effect.SendTarget{
		Conn: r.conn.ID, Seq: r.conn.BeginExchange(), Operations: slices.Concat(r.setup, r.operations()), Trace: r.Trace,
		Deadline: s.sendDeadline(r),
	})
	s.armSessionTimer(r.session)
}

// expectedTerm returns the term that the request's target is expected to be in.
func (s *Shard) expectedTerm(r *request) types.Term {
	g := s.view.Group(r.service.name)
	switch {
	case g == nil:
		return 0
	case r.service.managed(s.view):
		return r.service.primary.term
	case r.replica && !hasPrimary(g):
		return readableTerm(g, r.profile)
	}
	return g.TargetTerm()
}

// operations returns the operations of the request's current step. Every
// exchange that may be the last ends by querying the target's position.
func (r *request) operations() []types.Operation {
	caller := types.Operation{Kind: types.OpCaller, Payload: r.Payload, Floor: r.floor}
	position := types.Operation{Kind: types.OpPosition}
	ownTx := !r.inTx
	switch r.step {
	case stepClaim:
		return precededBy(ownTx, types.OpBegin, types.Operation{Kind: types.OpClaim, RequestID: r.ID})
	case stepRun:
		return []types.Operation{caller}
	case stepRecord:
		record := types.Operation{Kind: types.OpRecordAnswer, RequestID: r.ID, Payload: r.answer.Payload}
		if ownTx {
			return []types.Operation{record, {Kind: types.OpCommit}, position}
		}
		return []types.Operation{record, position}
	case stepRollback:
		return []types.Operation{{Kind: types.OpRollback}, position}
	case stepFence:
		return []types.Operation{{Kind: types.OpBegin}}
	case stepFenced:
		return []types.Operation{caller, {Kind: types.OpRollback}, position}
	case stepSetup:
		return nil
	case stepLookup:
		lookup := types.Operation{Kind: types.OpLookup, RequestID: r.ID}
		return append(precededBy(ownTx, types.OpRollback, lookup), position)
	}
	return []types.Operation{caller, position}
}

// precededBy puts an operation of the given kind before op if first is set.
func precededBy(first bool, kind types.OperationKind, op types.Operation) []types.Operation {
	if first {
		return []types.Operation{{Kind: kind}, op}
	}
	return []types.Operation{op}
}

// targetAnswered handles a target's answer, or the failure of its connection.
func (s *Shard) targetAnswered(e event.TargetAnswered) {
	conn, ok := s.conns[e.Conn]
	if !ok || !conn.Matches(e.Seq) {
		return
	}
	conn.EndExchange()
	r := s.sessions[conn.Owner].request
	s.dirty[r.service.name] = true
	if e.Err == nil {
		e.Err = r.checkCount(e.Results)
		e.Sent = true
	}
	if e.Err != nil {
		s.attemptFailed(r, e.Sent, types.RefuseConnLost, fmt.Sprintf("the connection to target %s broke: %v", r.target, e.Err))
		return
	}
	r.observed.AnsweredAt = s.now
	r.service.target(r.target).lastContact = s.now
	if r.target == r.service.primary.name {
		r.service.silence.answerReceived(executed(e.Results[0]))
	}
	if !s.setupDone(r, e.Results) {
		return
	}
	results := e.Results[len(r.setup):]
	if r.step == stepSetup {
		s.sendFirst(r)
		return
	}
	if r.sentUnderLease || !r.endedWithoutWrites(results[0]) {
		r.service.target(r.target).lastSignOfRole = s.now
	}
	s.recordResult(r, results[0])
	if executed(results[0]) && !s.failedByTarget(r, results[0]) {
		t := r.service.target(r.target)
		t.recordAnswer(s.now, e.Latency)
		r.service.recordLatency(r.profile.Name, e.Latency)
		s.adaptLimit(r)
	}
	s.observeQueueing(r, results[0], e.Latency)
	s.recordStatus(r, results[0], results[len(results)-1])
	s.stepDone(r, results)
}

// checkCount returns an error unless there is a result for each operation that was sent.
func (r *request) checkCount(results []types.Result) error {
	if want := len(r.setup) + len(r.operations()); len(results) != want {
		return fmt.Errorf("target %s gave %d results for %d operations", r.target, len(results), want)
	}
	return nil
}

// recordStatus stores the target's status if the exchange ended with one.
func (s *Shard) recordStatus(r *request, first, last types.Result) {
	r.statusKnown = false
	if last.Err != types.TargetErrNone || last.Status == (types.TargetStatus{}) {
		return
	}
	r.statusKnown, r.status = true, last.Status
	if r.service.managed(s.view) {
		s.recordPosition(r, first)
	}
	r.service.recordHealth(r.target, last.Status, r.sentAt, s.now)
}

// stepDone handles the results of the request's current step.
func (s *Shard) stepDone(r *request, results []types.Result) {
	switch r.step {
	case stepCaller:
		s.callerDone(r, results[0])
	case stepClaim:
		s.claimDone(r, results[len(results)-1])
	case stepRun:
		s.runDone(r, results[0])
	case stepRecord:
		s.recordDone(r, results)
	case stepRollback:
		s.rollbackDone(r, results[0])
	case stepLookup:
		s.lookupDone(r, results[len(results)-2])
	case stepFence:
		s.fenceDone(r, results[0])
	case stepFenced:
		s.fencedDone(r, results)
	}
}

// callerDone handles the answer to the caller's statement.
func (s *Shard) callerDone(r *request, res types.Result) {
	if r.service.managed(s.view) && s.handleRejection(r, res) {
		return
	}
	if res.Err == types.TargetErrReadOnly && !r.replica {
		s.attemptFailed(r, true, types.RefuseReplaced, fmt.Sprintf("target %s is no longer the primary", r.target))
		return
	}
	if r.BeginsTx && !begun(res) {
		s.beginFailed(r, res)
		return
	}
	if s.failedByTarget(r, res) && s.retryElsewhere(r, res) {
		return
	}
	r.answer, r.failed = types.Answer{Payload: res.Payload, Tx: res.Tx}, res.Err != types.TargetErrNone
	s.bindOrReleaseConn(r, res.Tx)
	s.acknowledge(r)
}

// begun reports whether the target has begun a transaction.
func begun(res types.Result) bool { return res.Err == types.TargetErrNone && res.Tx == types.TxOpen }

// beginFailed retries or refuses a request whose transaction the target did not
// begin. Statements that follow it would run outside of a transaction.
func (s *Shard) beginFailed(r *request, res types.Result) {
	conn := r.conn
	r.conn, r.stage = nil, stageBackoff
	if res.Tx == types.TxIdle {
		s.release(conn)
	} else {
		s.dropConn(conn)
	}
	reason := fmt.Sprintf("target %s did not begin a transaction", r.target)
	if !s.retry(r, reason) {
		s.refuse(r, types.RefuseTransactionLost, r.outcome(), reason)
	}
}

// bindOrReleaseConn binds the connection to the session while a transaction is
// open, and returns it to its pool otherwise.
func (s *Shard) bindOrReleaseConn(r *request, tx types.TxStatus) {
	c, conn := r.session, r.conn
	r.stage, r.conn = stageDurable, nil
	if tx != types.TxIdle {
		c.conn, c.onReplica, c.profile, c.organisation = conn, r.replica, r.profile, r.organisation
		return
	}
	c.conn = nil
	s.release(conn)
}

// attemptFailed closes the connection of a failed attempt, and retries the
// request if that is safe or refuses it otherwise.
func (s *Shard) attemptFailed(r *request, sent bool, code types.RefusalCode, reason string) {
	s.suspectIfPrimary(r)
	if sent && r.replica && r.service.target(r.target).lastContact <= r.sentAt {
		r.service.target(r.target).eject(s.now)
	}
	if sent && r.stage == stageRunning {
		s.recordFailure(r)
	}
	sent = sent && r.step != stepSetup // then only the setup was
	lostTx := r.inTx || r.session.inTransaction()
	again := !lostTx && (!sent || r.repeatable())
	r.mayHaveRun = r.mayHaveRun || sent
	s.abandon(r)
	if again && !sent && r.retries == 0 {
		r.retries++
		s.place(r) // the connection was stale, which does not show that the target failed
		return
	}
	if again && s.retry(r, reason) {
		s.chargeQuota(r, sent)
		return
	}
	s.refuse(r, code, r.outcome(), reason)
}

// retry schedules another attempt after a backoff. It reports false if the
// deadline comes first or the service's retry budget is spent.
func (s *Shard) retry(r *request, reason string) bool {
	at := s.now.Add(retry.Backoff(r.retries, s.random()))
	if at >= r.deadline || !r.service.budget.Withdraw() {
		return false
	}
	r.retries++
	r.stage, r.retryAt = stageBackoff, at
	s.recordDecision(r, effect.DecideRetry, effect.CauseNoAnswer, reason)
	s.armSessionTimer(r.session)
	return true
}
