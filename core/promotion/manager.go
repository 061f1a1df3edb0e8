// Package promotion decides which member is the primary of each group. It
// begins a new term when the primary has failed or an operator asks for a
// change. Then it waits until every proxy is fenced from the earlier term,
// reads the positions of a majority, promotes the most up-to-date member and
// has the others follow it.
package promotion

import (
	"maps"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
)

// Timing of promotions.
const (
	// callTimeout is how long a target may take to answer a control host.
	callTimeout = 250 * time.Millisecond
	// readGrace is how long to wait for more positions once a quorum has
	// answered.
	readGrace = 30 * time.Millisecond
	// retryInterval is the time between two tries of the same step.
	retryInterval = 100 * time.Millisecond
	// reproposeAfter is how long a proposal may stay uncommitted before it is
	// proposed again.
	reproposeAfter = time.Second
	// supersededTimeout is how long a majority of the proxies must see a
	// primary superseded before it is replaced.
	supersededTimeout = 300 * time.Millisecond
	// quiesceTimeout is how long an ordered change waits for work in progress.
	quiesceTimeout = 2 * time.Second
	// catchUpTimeout is how long an ordered change waits for the chosen member
	// to reach the highest position. It doubles with each try, up to
	// maxCatchUpTimeout.
	catchUpTimeout    = 500 * time.Millisecond
	maxCatchUpTimeout = 4 * time.Second
	// leaveRetryInterval is the time between two tries to replace a leaving
	// primary.
	leaveRetryInterval = 10 * time.Second
	// catchUpInterval is the time between two position requests to a member
	// that is catching up.
	catchUpInterval = 20 * time.Millisecond
	// stableAfter is how long a primary has to serve until its failure no
	// longer counts as one in quick succession.
	stableAfter = 30 * time.Second
	// minBackoff and maxBackoff bound how long a primary is kept after
	// freeReplacements in quick succession. A primary that a proxy has reached
	// is kept for at most provenBackoff, since its failure is a new one.
	minBackoff    = time.Second
	provenBackoff = 2 * time.Second
	maxBackoff    = 8 * time.Second
	// reportMaxAge is the age beyond which a proxy's report is ignored.
	reportMaxAge = 600 * time.Millisecond
)

// freeReplacements is how many primaries may be replaced in quick succession
// without a backoff.
const freeReplacements = 3

// Manager advances the promotions of all groups while this host leads.
type Manager struct {
	state         *cluster.State
	leases        *lease.Table
	role          role.Role
	groups        map[types.ServiceName]*group
	timers        map[uint64]types.ServiceName
	calls         map[uint64]call
	quiescing     map[types.ServiceName]bool          // groups whose next step depends on what proxies have under way
	fencing       map[types.ServiceName]uint64        // groups that wait until a version of the view is fenced
	fencedVersion uint64                              // at the last check of fencing; zero after one was added
	lastCall      uint64                              // ID of the last call to a target
	failing       map[types.ServiceName]types.Instant // when a proxy last reported that the primary fails
}

// group is the leader's state for one group besides the replicated state.
type group struct {
	proposedAt        types.Instant // when the pending command was proposed; zero if none
	proposedTerm      types.Term    // term of the pending command
	preferred         types.TargetName
	suspicions        map[types.HostID]suspicion
	supersededSince   types.Instant    // since when a majority of proxies sees the primary superseded
	attempt           *attempt         // promotion in progress
	quiesceStartedAt  types.Instant    // when the quiesce was first seen
	ordered           bool             // the next term is an ordered change
	avoided           types.TargetName // primary that the proxies can't reach
	servingSince      types.Instant    // when the last primary was chosen
	quickReplacements int              // primaries chosen in quick succession before it
	provenTerm        types.Term       // last term whose primary a proxy has reached
	leaveAttempts     int              // tries to replace a leaving primary
	lastLeaveAttempt  types.Instant    // when the last of them began
	followers         map[types.TargetName]*follower

	// Only for managed services.
	openRequest        bool             // an unanswered promotion request may still be executed
	openTarget         types.TargetName // the member that all open requests name; empty if they differ or are unknown
	unansweredRequests int              // consecutive promotion requests without an answer
	confirmation       confirmation     // of a primary that serves unconfirmed
	departures         []departure      // since the last primary was chosen
	logCheck           logCheck         // of members whose logs may be incomplete
}

// call is a pending call to a target.
type call struct {
	service types.ServiceName
	term    types.Term
	target  types.TargetName
	kind    types.OperationKind
}

// New returns a manager with no promotion in progress.
func New(state *cluster.State, leases *lease.Table) *Manager {
	return &Manager{
		state: state, leases: leases,
		groups: make(map[types.ServiceName]*group),
		timers: make(map[uint64]types.ServiceName),
		calls:  make(map[uint64]call),

		quiescing: make(map[types.ServiceName]bool),
		fencing:   make(map[types.ServiceName]uint64),
		failing:   make(map[types.ServiceName]types.Instant),
	}
}

// Step handles one event.
func (m *Manager) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return m.handleRoleChange(in.Now, e)
	case event.Committed:
		return m.handleCommitted(in.Now, e.Entry.Command)
	case event.LeaseRequested:
		return m.handleReports(in.Now, e.Request)
	case event.TargetReplied:
		return m.handleReply(in.Now, e)
	case event.TimerFired:
		if service, ok := m.timers[e.ID.Key]; ok && e.ID.Domain == event.DomainPromotion {
			return m.advance(in.Now, service)
		}
	}
	return nil
}

func (m *Manager) handleRoleChange(now types.Instant, e event.RoleChanged) []effect.Effect {
	if !m.role.Update(e) {
		return nil
	}
	clear(m.groups)
	clear(m.timers)
	clear(m.calls)
	clear(m.quiescing)
	clear(m.fencing)
	clear(m.failing)
	return m.advanceAll(now)
}

func (m *Manager) handleCommitted(now types.Instant, c proto.Command) []effect.Effect {
	switch {
	case !m.role.Leading:
		return nil
	case c.Change != nil:
		maps.DeleteFunc(m.groups, func(name types.ServiceName, _ *group) bool { return m.state.Group(name) == nil })
		return m.advanceAll(now)
	case c.Member != nil:
		if g := m.state.Group(c.Member.Service); g != nil && c.Member.Remove {
			m.group(g.Service).recordDeparture(now, g, c.Member.Target)
		}
		return m.advance(now, c.Member.Service)
	case c.Quiesce != nil:
		m.clearProposal(c.Quiesce.Service).preferred = c.Quiesce.To
		return m.advance(now, c.Quiesce.Service)
	case c.BeginTerm != nil:
		return m.startAttempt(now, *c.BeginTerm)
	case c.ServeTerm != nil:
		return m.handleTermServing(now, *c.ServeTerm)
	case c.Confirm != nil:
		return m.handlePrimaryConfirmed(now, *c.Confirm)
	}
	return nil
}

// handleTermServing has the other members follow the primary of a term that
// has just become serving.
func (m *Manager) handleTermServing(now types.Instant, c proto.ServeTerm) []effect.Effect {
	gr := m.clearProposal(c.Service)
	gr.confirmation = confirmation{}
	if a := gr.attempt; a != nil && a.term == c.Term {
		gr.confirmation = confirmation{
			term: a.term, requestedAt: a.replyDeadline.Add(-managedPromoteTimeout), answeredAt: a.answeredAt,
		}
	}
	gr.attempt, gr.departures = nil, nil
	g := m.state.Group(c.Service)
	if g == nil || g.Term != c.Term {
		return nil
	}
	gr.countReplacement(now)
	delete(m.failing, c.Service)
	gr.followers = make(map[types.TargetName]*follower)
	clear(gr.suspicions)
	for _, t := range g.Members {
		gr.followers[t.Name] = &follower{pending: t.Name != c.Primary}
	}
	return m.advance(now, c.Service)
}

// countReplacement counts primaries that were chosen in quick succession.
func (gr *group) countReplacement(now types.Instant) {
	if gr.servingSince == 0 || now.Sub(gr.servingSince) >= stableAfter {
		gr.quickReplacements = 0
	} else {
		gr.quickReplacements++
	}
	gr.servingSince = now
}

// clearProposal marks the proposal of a group as no longer pending, and
// returns the group.
func (m *Manager) clearProposal(service types.ServiceName) *group {
	gr := m.group(service)
	gr.proposedAt = 0
	return gr
}

// group returns the leader's state for a service's group and creates it if
// needed.
func (m *Manager) group(service types.ServiceName) *group {
	gr := m.groups[service]
	if gr == nil {
		g := m.state.Group(service)
		gr = &group{openRequest: g != nil && g.Term > 0} // an earlier leader may have left one
		m.groups[service] = gr
		m.timers[xxhash.Sum64String(string(service))] = service
	}
	return gr
}

func (m *Manager) advanceAll(now types.Instant) []effect.Effect {
	if !m.role.Leading {
		return nil
	}
	return m.advanceEach(now, m.state.Services())
}

func (m *Manager) advanceEach(now types.Instant, services []types.ServiceName) []effect.Effect {
	var out []effect.Effect
	for _, name := range services {
		out = append(out, m.advance(now, name)...)
	}
	return out
}

// advance takes the next step that the group's phase requires. It may be
// called at any time.
func (m *Manager) advance(now types.Instant, service types.ServiceName) []effect.Effect {
	delete(m.quiescing, service)
	delete(m.fencing, service)
	g := m.state.Group(service)
	if !m.role.Leading || g == nil {
		return nil
	}
	gr := m.group(service)
	switch g.Phase {
	case types.GroupForming:
		return m.advanceForming(now, g, gr)
	case types.GroupServing:
		return m.advanceServing(now, g, gr)
	case types.GroupQuiescing:
		m.quiescing[service] = true
		return m.advanceQuiescing(now, g, gr)
	case types.GroupFencing:
		return m.advanceFencing(now, g, gr)
	}
	return nil
}

// advanceForming begins the first term once every member has announced itself.
func (m *Manager) advanceForming(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if len(g.Members) < m.size(g) || len(g.Members) == 0 {
		return nil
	}
	return m.beginTerm(now, g, gr, "all members announced themselves")
}

// size returns the configured number of members.
func (m *Manager) size(g *types.Group) int { return m.state.Config().Services[g.Service].Members }

// beginTerm proposes the next term.
func (m *Manager) beginTerm(now types.Instant, g *types.Group, gr *group, reason string) []effect.Effect {
	return m.beginTermAfter(now, g, gr, g.Term, reason)
}

// beginTermAfter proposes the term after last, which may be beyond the group's
// term.
func (m *Manager) beginTermAfter(now types.Instant, g *types.Group, gr *group, last types.Term, reason string) []effect.Effect {
	return m.propose(now, gr, last+1, proto.Command{BeginTerm: &proto.BeginTerm{
		Service: g.Service, Term: last + 1, Prefer: gr.preferred, Reason: reason,
	}})
}

// propose replicates a command unless one for the same term is pending.
func (m *Manager) propose(now types.Instant, gr *group, term types.Term, c proto.Command) []effect.Effect {
	if gr.proposedAt != 0 && gr.proposedTerm == term && now.Sub(gr.proposedAt) < reproposeAfter {
		return nil
	}
	gr.proposedAt, gr.proposedTerm = now, term
	return []effect.Effect{effect.Propose{Command: c}}
}

// call sends an operation to a member.
func (m *Manager) call(g *types.Group, t types.Target, op types.Operation) effect.Effect {
	m.lastCall++
	m.calls[m.lastCall] = call{service: g.Service, term: g.Term, target: t.Name, kind: op.Kind}
	return effect.CallTarget{
		Call: m.lastCall, Service: g.Service, Target: t, Operation: op, Timeout: callTimeout,
	}
}

// handleReply handles the answer to a call of the current term.
func (m *Manager) handleReply(now types.Instant, e event.TargetReplied) []effect.Effect {
	c, ok := m.calls[e.Call]
	delete(m.calls, e.Call)
	g := m.state.Group(c.service)
	if !ok || !m.role.Leading || g == nil || g.Term != c.term {
		return nil
	}
	gr := m.group(c.service)
	switch c.kind {
	case types.OpPosition:
		return m.handlePosition(now, g, gr, c.target, e)
	case types.OpPromote:
		return m.handlePromoted(now, g, gr, c.target, e)
	case types.OpFollow:
		return m.handleFollowed(now, gr, c.target, e)
	}
	return nil
}

// armTimer sets the timer of a group.
func armTimer(service types.ServiceName, at types.Instant) effect.Effect {
	key := xxhash.Sum64String(string(service))
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainPromotion, Key: key}, At: at}
}
