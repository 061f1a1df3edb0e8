package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// defaultRequestTimeout and defaultQueueTimeout stand in for profiles
	// that set none.
	defaultRequestTimeout = 5 * time.Second
	defaultQueueTimeout   = time.Second
)

// stage says what a request waits for.
type stage uint8

const (
	stageFloor   stage = iota // the session's floor
	stageQueued               // a connection
	stageBackoff              // the pause before a retry
	stageRunning              // an answer of the target
	stageDurable              // a majority that holds the write
)

// request is a request under way.
type request struct {
	types.Request
	session *session
	service *service
	profile types.Profile
	stage   stage

	arrived       types.Instant
	deadline      types.Instant
	queueDeadline types.Instant
	retryAt       types.Instant // while in stageBackoff

	key   string // candidate set that it is queued for
	entry *pool.Entry[*request]
	cost  float64 // expected work, in seconds
	late  bool    // it waits behind those that can be answered in time

	conn    *pool.Conn // while running
	target  types.TargetName
	replica bool // target is not the primary
	step    step

	setup      int          // operations before the caller's that set up the connection
	floor      types.LogPos // position that a replica of a managed service must hold
	sentAt     types.Instant
	sentTerm   types.Term   // of the target when it was sent
	checked    bool         // it was late, and its target was looked at
	sentLeased bool         // a live lease ruled out another primary then
	chosenAt   types.LogPos // position of the replica when it was sent

	answer     types.Answer       // once the target answered
	status     types.TargetStatus // of the target after the answer
	positioned bool               // status is known
	admitted   bool               // the queue has taken it once
	retries    int
	mayRun     bool // an attempt without a known outcome was sent
	inTx       bool // it came within an open transaction

	observed effect.Observation
}

// onPrimary reports whether the request must run on the primary.
func (r *request) onPrimary() bool {
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

// outcome returns what is known when the current attempt was not sent. A
// request with an id may have run under an earlier request of that id.
func (r *request) outcome() types.Outcome {
	if r.ID != "" || r.mayRun && !r.Discards {
		return types.Unknown
	}
	return types.NotRun
}

func refusal(code types.RefusalCode, o types.Outcome, reason string) types.Refusal {
	return types.Refusal{Code: code, Outcome: o, Reason: reason}
}

func (s *Shard) requestArrived(e event.RequestArrived) {
	c, ok := s.sessions[e.Session]
	if !ok {
		s.refuseUnknown(e, types.RefuseDraining, "the session has ended")
		return
	}
	if c.request != nil {
		s.refuseUnknown(e, types.RefuseOverloaded, "another request of the session is under way")
		return
	}
	r := &request{Request: e.Request, session: c, arrived: s.now, inTx: c.inTransaction()}
	c.request = r
	if !s.admit(r) {
		return
	}
	r.service.budget.Deposit()
	if r.inTx {
		c.profile = r.profile
		s.startPinned(r)
		return
	}
	s.place(r)
}

// refuseUnknown refuses a request that no session is responsible for.
func (s *Shard) refuseUnknown(e event.RequestArrived, code types.RefusalCode, reason string) {
	r := request{Request: e.Request}
	s.emit(effect.RefuseCaller{
		Session: e.Session, Seq: e.Request.Seq, Refusal: refusal(code, r.outcome(), reason),
	})
}

// admit resolves the service and profile of a request and refuses what can't
// be served.
func (s *Shard) admit(r *request) bool {
	if s.view == nil || s.view.Cluster == nil {
		s.refuse(r, types.RefuseNoLease, r.outcome(), "the proxy has no configuration yet")
		return false
	}
	if !s.route(r) {
		why := refuseUnrouted(s.view, r.session.database, s.now)
		s.refuse(r, why.Code, r.outcome(), why.Reason)
		return false
	}
	name := r.session.service
	if !s.leaseLive() && !s.managed(name) {
		s.refuse(r, types.RefuseNoLease, r.outcome(), "the proxy's lease has run out")
		return false
	}
	if _, ok := s.view.Cluster.Config.Services[name]; !ok {
		s.refuse(r, types.RefuseUnknownService, r.outcome(), fmt.Sprintf("service %q is not configured", name))
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
	return true
}

// RefuseDatabase returns why sessions with a database name can't be served, and
// whether they can't.
func RefuseDatabase(view *types.NodeView, name types.DatabaseName, now types.Instant) (types.Refusal, bool) {
	if view.Routes(name) {
		return types.Refusal{}, false
	}
	return refuseUnrouted(view, name, now), true
}

// refuseUnrouted refuses a name for good under a live lease only: without one the
// configuration may be outdated, and another proxy may know the name.
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

// route takes over the service and profile that the session's database name has
// now. A transaction stays where it began.
func (s *Shard) route(r *request) bool {
	c := r.session
	if c.database == "" || r.inTx {
		return true
	}
	route, ok := s.view.Cluster.Config.Routes[c.database]
	if !ok {
		return false
	}
	if c.service != "" && route.Service != c.service {
		c.floor = floor{} // positions of another log
	}
	c.service = route.Service
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

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// reply gives the caller its answer.
func (s *Shard) reply(r *request) {
	c := r.session
	r.answer.Floor = c.floor.seen
	s.emit(effect.AnswerCaller{Session: c.id, Seq: r.Seq, Answer: r.answer})
	s.finish(r, 0)
	c.answered = s.now
	s.afterRequest(c)
}

// refuse tells the caller that its request got no answer. A refusal within a
// transaction ends it: the rest of it must not be committed without this
// request.
func (s *Shard) refuse(r *request, code types.RefusalCode, o types.Outcome, reason string) {
	c := r.session
	s.abandon(r)
	ref := refusal(code, o, reason)
	s.emit(effect.RefuseCaller{Session: c.id, Seq: r.Seq, Refusal: ref})
	s.decide(r, effect.DecideRefuse, "", reason)
	s.finish(r, code)
	if c.inTransaction() {
		s.endSession(c, refusal(types.RefuseNotClean, o, "the connection of the transaction was closed: "+reason))
		return
	}
	s.afterRequest(c)
}

// abandon takes a request out of whatever it waits in. An exchange under way
// ends with its connection.
func (s *Shard) abandon(r *request) {
	switch r.stage {
	case stageQueued:
		s.unqueue(r)
	case stageRunning:
		s.dropRunning(r)
	case stageFloor, stageDurable:
		delete(r.service.waitingOrNil(), r)
	}
	r.stage = stageBackoff
}

// finish records a request and forgets it.
func (s *Shard) finish(r *request, code types.RefusalCode) {
	o := r.observed
	o.Service, o.Profile, o.Target = r.session.service, r.profile.Name, r.target
	o.Class, o.Replica, o.Refusal = r.Class, r.replica, code
	o.Arrived, o.Done = r.arrived, s.now
	o.Retries, o.Trace = r.retries, r.Trace
	o.Request, o.Floor, o.Late, o.View = r.Label, r.floor, r.lateBy(s.now), s.seen()
	o.PositionAge = s.positionAge(r.service)
	s.emit(effect.Observe{Observation: o})
	r.session.request = nil
}

// afterRequest sets the session's timer for what is left, and ends the session
// when the proxy is stopping.
func (s *Shard) afterRequest(c *session) {
	if s.draining && !c.inTransaction() {
		s.endSession(c, refusal(types.RefuseDraining, types.NotRun, "the proxy is stopping"))
		return
	}
	s.armSession(c)
}

// drain ends the sessions that have nothing under way; the others end once
// they are done.
func (s *Shard) drain() {
	s.draining = true
	for _, id := range sortedKeys(s.sessions) {
		if c := s.sessions[id]; c.request == nil {
			s.afterRequest(c)
		}
	}
}
