package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/admission"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// defaultRequestTimeout and defaultQueueTimeout apply to profiles that set
	// none.
	defaultRequestTimeout = 5 * time.Second
	defaultQueueTimeout   = time.Second
	// transactionDrainMargin is how long before the end of the drain transactions
	// have to end, so that their last statements are answered. Long statements take
	// up to 0.4 s.
	transactionDrainMargin = time.Second
)

// stage is what a request waits for.
type stage uint8

const (
	stageFloor   stage = iota // the session's floor
	stageQueued               // a connection
	stageBackoff              // the pause before a retry
	stageRunning              // the target's answer
	stageDurable              // confirmation that the write is durable
	stageQuota                // a right of the caller's organisation
	stageLease                // a lease on a confirmed primary
)

// request is a request in progress.
type request struct {
	types.Request
	session *session
	service *service
	profile types.Profile
	stage   stage

	organisation types.OrganisationName // of the caller; empty without one

	arrived       types.Instant
	deadline      types.Instant
	queueDeadline types.Instant
	retryAt       types.Instant // while in stageBackoff or stageQuota
	quotaDeadline types.Instant // while in stageQuota

	queueKey   string // candidate set that it is queued for
	queueEntry *admission.Entry[*request]
	cost       float64 // expected work, in seconds
	late       bool    // it is queued behind those that can be answered in time

	conn    *pool.Conn // while running
	target  types.TargetName
	replica bool // target is not the primary
	step    step

	setup          []types.Operation // sent first in the exchange, to set up the connection
	floor          types.LogPos      // position that a replica of a managed service must hold
	sentAt         types.Instant
	sentTerm       types.Term   // expected of the target when it was sent
	slowChecked    bool         // the answer is slow, and the target has been checked for it
	sentUnderLease bool         // a live lease ruled out another primary when it was sent
	selectedPos    types.LogPos // position of the replica when it was sent

	answer       types.Answer       // set once the target has answered
	failed       bool               // the answer is an error of the statement
	status       types.TargetStatus // of the target after the answer
	statusKnown  bool               // status is known
	admitted     bool               // a queue has accepted it once
	usageCounted bool               // it counts in the use of its organisation
	retries      int
	failedOn     types.TargetName // that failed its last attempt; another one is preferred
	mayHaveRun   bool             // an attempt without a known outcome was sent
	inTx         bool             // it arrived within an open transaction

	observed effect.Observation
}

// needsPrimary reports whether the request must run on the primary.
func (r *request) needsPrimary() bool {
	return r.Class == types.ClassWrite || r.ID != "" || r.profile.Freshness == types.FreshPrimary
}

// writes reports whether the answer needs a durable position.
func (r *request) writes() bool { return r.Class == types.ClassWrite || r.ID != "" }

// repeatable reports whether the request may be sent again although an earlier
// attempt may have run.
func (r *request) repeatable() bool {
	if r.inTx {
		return false
	}
	switch {
	case r.ID != "", r.Idempotent, r.profile.Idempotent == types.IdempotentAll:
		return true
	}
	return r.profile.Idempotent == types.IdempotentReads && r.Class == types.ClassRead
}

// outcome returns the request's outcome if the current attempt was not sent. A
// request with an id may have run as an earlier request with that id.
func (r *request) outcome() types.Outcome {
	if r.ID != "" || r.mayHaveRun && !r.DiscardedOnClose {
		return types.Unknown
	}
	return types.NotRun
}

func refusal(code types.RefusalCode, o types.Outcome, reason string) types.Refusal {
	return types.Refusal{Code: code, Outcome: o, Reason: reason}
}

// requestArrived handles a new request of a session.
func (s *Shard) requestArrived(e event.RequestArrived) {
	c, ok := s.sessions[e.Session]
	if !ok {
		s.refuseNoSession(e, types.RefuseDraining, "the session has ended")
		return
	}
	if c.request != nil {
		s.refuseNoSession(e, types.RefuseOverloaded, "another request of the session is in progress")
		return
	}
	r := &request{Request: e.Request, session: c, arrived: s.now, inTx: c.inTransaction()}
	c.request = r
	if s.admit(r) {
		s.begin(r)
	}
}

// begin serves an admitted request.
func (s *Shard) begin(r *request) {
	r.service.budget.Deposit()
	if r.inTx {
		r.session.profile = r.profile
		s.startPinned(r)
		return
	}
	s.place(r)
}

// refuseNoSession refuses a request that was not added to a session.
func (s *Shard) refuseNoSession(e event.RequestArrived, code types.RefusalCode, reason string) {
	r := request{Request: e.Request}
	s.emit(effect.RefuseCaller{
		Session: e.Session, Seq: e.Request.Seq, Refusal: refusal(code, r.outcome(), reason),
	})
}

// admit resolves the service and profile of a request and reports whether it can be
// served now. Otherwise it refuses the request, or lets it wait for a right of its
// organisation.
func (s *Shard) admit(r *request) bool {
	if s.view == nil || s.view.Cluster == nil {
		s.refuse(r, types.RefuseNoLease, r.outcome(), "the proxy has no configuration yet")
		return false
	}
	if !s.resolveRoute(r) {
		why := refuseUnrouted(s.view, r.session.database, s.now)
		s.refuse(r, why.Code, r.outcome(), why.Reason)
		return false
	}
	name := r.session.service
	if !s.leaseLive() && !s.managed(name) {
		s.refuse(r, types.RefuseNoLease, r.outcome(), "the proxy's lease has expired")
		return false
	}
	if _, ok := s.view.Cluster.Config.Services[name]; !ok {
		s.refuse(r, types.RefuseUnknownService, r.outcome(), fmt.Sprintf("service %q is not configured", name))
		return false
	}
	if !s.identify(r) {
		return false
	}
	profile, ok := s.profile(r)
	if !ok {
		s.refuse(r, types.RefuseUnknownProfile, r.outcome(), fmt.Sprintf("service %q has no profile %q", name, r.Profile))
		return false
	}
	r.service = s.service(name)
	r.profile = profile
	r.deadline = s.now.Add(orDefault(profile.RequestTimeout, defaultRequestTimeout))
	r.queueDeadline = min(r.deadline, s.now.Add(orDefault(profile.QueueTimeout, defaultQueueTimeout)))
	return s.admitByQuota(r)
}

// RefuseSession returns a refusal and true if the configuration does not route the
// database name of a session, or does not know the key of its caller.
func RefuseSession(view *types.NodeView, p types.SessionParams, now types.Instant) (types.Refusal, bool) {
	if p.Database != "" && !view.Routes(p.Database) {
		return refuseUnrouted(view, p.Database, now), true
	}
	if !view.Configured() {
		return types.Refusal{}, false
	}
	if _, why := organisation.Identify(view, p.Key, p.Database, now); why != nil {
		return *why, true
	}
	return types.Refusal{}, false
}

// refuseUnrouted reports a name as unknown only under a live lease. Without one
// the configuration may be outdated, and another proxy may know the name.
func refuseUnrouted(view *types.NodeView, name types.DatabaseName, now types.Instant) types.Refusal {
	switch {
	case !view.Configured():
		return refusal(types.RefuseNoLease, types.NotRun, "the proxy has no configuration yet")
	case !view.LeaseLive(now):
		return refusal(types.RefuseNoLease, types.NotRun, fmt.Sprintf(
			"database %q is not routed by a configuration that may be outdated", name))
	}
	return refusal(types.RefuseUnknownDatabase, types.NotRun, fmt.Sprintf("database %q is not routed", name))
}

// resolveRoute applies the service and profile that the session's database name
// is routed to now. A transaction keeps those that it began with.
func (s *Shard) resolveRoute(r *request) bool {
	c := r.session
	if c.database == "" || r.inTx {
		return true
	}
	route, ok := s.view.Cluster.Config.Routes[c.database]
	if !ok {
		return false
	}
	if route.Service != c.service {
		c.useService(route.Service)
	}
	r.Profile = route.Profile
	return true
}

// profile returns the profile that the request runs under.
func (s *Shard) profile(r *request) (types.Profile, bool) {
	c, config := r.session, s.view.Cluster.Config
	switch {
	case c.database == "":
		return config.Profile(c.service, r.Profile)
	case r.inTx:
		return c.profile, true
	}
	p, ok := config.Profiles[r.Profile]
	return p, ok
}

// orDefault returns d, or def if d is not set.
func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// reply relays the answer to the caller.
func (s *Shard) reply(r *request) {
	c := r.session
	r.answer.Service, r.answer.Floor = c.service, c.floor.seen
	s.emit(effect.AnswerCaller{Session: c.id, Seq: r.Seq, Answer: r.answer})
	s.finish(r, 0)
	c.lastAnswerAt = s.now
	if s.keyRevoked(c) {
		s.endRevoked(c)
		return
	}
	s.afterRequest(c)
}

// refuse refuses a request. Within a transaction it ends the transaction, which
// must not be committed without this request.
func (s *Shard) refuse(r *request, code types.RefusalCode, o types.Outcome, reason string) {
	s.refuseUntil(r, code, o, reason, 0)
}

// refuseUntil refuses a request whose caller may come back after a time, if it isn't zero.
func (s *Shard) refuseUntil(r *request, code types.RefusalCode, o types.Outcome, reason string, retryAfter time.Duration) {
	ref := refusal(code, o, reason)
	ref.RetryAfter = retryAfter
	s.refuseWith(r, ref, "")
}

// refuseWith refuses a request for a cause, which may be empty.
func (s *Shard) refuseWith(r *request, ref types.Refusal, cause effect.Cause) {
	c := r.session
	s.abandon(r)
	s.emit(effect.RefuseCaller{Session: c.id, Seq: r.Seq, Refusal: ref})
	s.recordDecision(r, effect.DecideRefuse, cause, ref.Reason)
	s.finish(r, ref.Code)
	if c.inTransaction() {
		s.endSession(c, refusal(types.RefuseTransactionLost, ref.Outcome, "the connection of the transaction was closed: "+ref.Reason))
		return
	}
	s.afterRequest(c)
}

// abandon removes a request from whatever it waits in. An exchange in progress
// ends by closing its connection.
func (s *Shard) abandon(r *request) {
	switch r.stage {
	case stageQueued:
		s.dequeue(r)
	case stageRunning:
		s.dropRunning(r)
	case stageFloor, stageDurable, stageLease:
		delete(r.service.waitingOrNil(), r)
	case stageQuota:
		s.removeLacking(r)
	}
	r.stage = stageBackoff
}

// finish emits the request's observation and removes it from its session.
func (s *Shard) finish(r *request, code types.RefusalCode) {
	o := r.observed
	o.Service, o.Profile, o.Target = r.session.service, r.profile.Name, r.target
	o.Class, o.Replica, o.Refusal = r.Class, r.replica, code
	o.ArrivedAt, o.DoneAt = r.arrived, s.now
	o.Retries, o.Trace = r.retries, r.Trace
	o.Request, o.Floor, o.Late, o.ViewVersion = r.Label, r.floor, r.lateBy(s.now), s.viewVersion()
	o.PositionAge = s.positionAge(r.service)
	o.Organisation, o.BeginsOperation = r.organisation, !r.inTx
	s.emit(effect.Observe{Observation: o})
	r.session.request = nil
}

// afterRequest ends an idle session if the proxy is stopping, and otherwise sets
// the session's timer.
func (s *Shard) afterRequest(c *session) {
	if s.draining && !c.inTransaction() {
		s.endSession(c, refusal(types.RefuseDraining, types.NotRun, "the proxy is stopping"))
		return
	}
	s.armSessionTimer(c)
}

// drain ends the idle sessions; the others end after their request or transaction.
// Unless until is zero, transactions have to end before it, so that the caller of each
// request gets an answer.
func (s *Shard) drain(until types.Instant) {
	s.draining = true
	if until != 0 {
		s.drainUntil = until
		s.transactionsUntil = until.Add(-min(transactionDrainMargin, until.Sub(s.now)/2))
	}
	for _, id := range sortedKeys(s.sessions) {
		if c := s.sessions[id]; c.request == nil {
			s.afterRequest(c)
		} else {
			s.armSessionTimer(c)
		}
	}
}
