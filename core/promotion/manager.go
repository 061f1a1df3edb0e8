// Package promotion decides who is the primary of each group. It begins a new
// term when the primary has failed or an operator asks, waits until every proxy
// is fenced from the old one, reads the positions of a majority, promotes the
// furthest member and has the others follow it.
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

// Times of promotions.
const (
	// callTimeout is how long a target may take to answer control.
	callTimeout = 250 * time.Millisecond
	// readGrace is how long further positions are awaited once a quorum has
	// answered.
	readGrace = 30 * time.Millisecond
	// retryInterval is the time between two tries of the same step.
	retryInterval = 100 * time.Millisecond
	// repeatAfter is how long a proposal may stay without effect.
	repeatAfter = time.Second
	// demoteAfter is how long a primary has to say that it is none.
	demoteAfter = 300 * time.Millisecond
	// quiesceBound is how long an ordered change waits for work under way.
	quiesceBound = 2 * time.Second
	// catchUpBound is how long an ordered change waits for its target to
	// reach the furthest position. It doubles with each try, up to
	// maxCatchUpBound.
	catchUpBound    = 500 * time.Millisecond
	maxCatchUpBound = 4 * time.Second
	// moveInterval is the time between two tries to replace a primary that
	// leaves.
	moveInterval = 10 * time.Second
	// catchUpInterval is the time between two looks at a target that catches
	// up.
	catchUpInterval = 20 * time.Millisecond
	// stableAfter is how long a primary has to serve until its failure is not
	// counted together with the one before.
	stableAfter = 30 * time.Second
	// minBackoff and maxBackoff bound how long a primary is kept after
	// freeReplacements in quick succession. One that a proxy has reached is
	// kept for provenBackoff at most: its failure is a new one.
	minBackoff    = time.Second
	provenBackoff = 2 * time.Second
	maxBackoff    = 8 * time.Second
	// reportBound is the age up to which a proxy's report counts.
	reportBound = 600 * time.Millisecond
)

// freeReplacements is how many primaries may be replaced in quick succession
// without a pause.
const freeReplacements = 3

// Manager drives the promotions of all groups while this host leads.
type Manager struct {
	state   *cluster.State
	leases  *lease.Table
	role    role.Role
	groups  map[types.ServiceName]*group
	timers  map[uint64]types.ServiceName
	calls   map[uint64]call
	waiting map[types.ServiceName]bool // groups whose next step waits for proxies
	last    uint64                     // number of the last call to a target
}

// group is what the leader remembers of one group beside its replicated state.
type group struct {
	proposedAt types.Instant // of the command under way; zero if none
	proposed   types.Term    // term that it is about
	prefer     types.TargetName
	suspicions map[types.HostID]suspicion
	demoted    types.Instant    // since when the primary says that it is none
	run        *run             // the promotion under way
	quiesced   types.Instant    // when the quiesce was first seen
	ordered    bool             // the next term is an ordered change
	avoid      types.TargetName // the primary that the proxies can't reach
	servedAt   types.Instant    // when the last primary was chosen
	quick      int              // primaries chosen in quick succession before it
	proven     types.Term       // last term whose primary a proxy has reached
	moves      int              // tries to replace a primary that leaves
	movedAt    types.Instant    // last of them
	followers  map[types.TargetName]*follower

	// Of a managed service.
	openOrder  bool // an order may still be carried out: it got no answer
	unanswered int  // orders in a row without one
}

// call is a question to a target that is not answered yet.
type call struct {
	service types.ServiceName
	term    types.Term
	target  types.TargetName
	kind    types.OperationKind
}

// New returns a manager without promotions under way.
func New(state *cluster.State, leases *lease.Table) *Manager {
	return &Manager{
		state: state, leases: leases,
		groups: make(map[types.ServiceName]*group),
		timers: make(map[uint64]types.ServiceName),
		calls:  make(map[uint64]call),

		waiting: make(map[types.ServiceName]bool),
	}
}

// Step takes in one event.
func (m *Manager) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return m.changeRole(in.Now, e)
	case event.Committed:
		return m.committed(in.Now, e.Entry.Command)
	case event.LeaseRequested:
		return m.reported(in.Now, e.Request)
	case event.TargetReplied:
		return m.replied(in.Now, e)
	case event.TimerFired:
		if service, ok := m.timers[e.ID.Key]; ok && e.ID.Domain == event.DomainPromotion {
			return m.drive(in.Now, service)
		}
	}
	return nil
}

func (m *Manager) changeRole(now types.Instant, e event.RoleChanged) []effect.Effect {
	if !m.role.Update(e) {
		return nil
	}
	clear(m.groups)
	clear(m.timers)
	clear(m.calls)
	clear(m.waiting)
	return m.driveAll(now)
}

func (m *Manager) committed(now types.Instant, c proto.Command) []effect.Effect {
	switch {
	case !m.role.Leading:
		return nil
	case c.Change != nil:
		maps.DeleteFunc(m.groups, func(name types.ServiceName, _ *group) bool { return m.state.Group(name) == nil })
		return m.driveAll(now)
	case c.Member != nil:
		return m.drive(now, c.Member.Service)
	case c.Quiesce != nil:
		m.settled(c.Quiesce.Service).prefer = c.Quiesce.To
		return m.drive(now, c.Quiesce.Service)
	case c.BeginTerm != nil:
		return m.begun(now, *c.BeginTerm)
	case c.ServeTerm != nil:
		return m.served(now, *c.ServeTerm)
	}
	return nil
}

// served has the other members follow the primary of a term.
func (m *Manager) served(now types.Instant, c proto.ServeTerm) []effect.Effect {
	gr := m.settled(c.Service)
	gr.run = nil
	g := m.state.Group(c.Service)
	if g == nil || g.Term != c.Term {
		return nil
	}
	gr.countServed(now)
	gr.followers = make(map[types.TargetName]*follower)
	clear(gr.suspicions)
	for _, t := range g.Members {
		gr.followers[t.Name] = &follower{open: t.Name != c.Primary}
	}
	return m.drive(now, c.Service)
}

// countServed counts primaries that were chosen in quick succession.
func (gr *group) countServed(now types.Instant) {
	if gr.servedAt == 0 || now.Sub(gr.servedAt) >= stableAfter {
		gr.quick = 0
	} else {
		gr.quick++
	}
	gr.servedAt = now
}

// settled returns a group whose proposal has been committed.
func (m *Manager) settled(service types.ServiceName) *group {
	gr := m.group(service)
	gr.proposedAt = 0
	return gr
}

func (m *Manager) group(service types.ServiceName) *group {
	gr := m.groups[service]
	if gr == nil {
		g := m.state.Group(service)
		gr = &group{openOrder: g != nil && len(g.History) > 0} // by an earlier leader
		m.groups[service] = gr
		m.timers[xxhash.Sum64String(string(service))] = service
	}
	return gr
}

func (m *Manager) driveAll(now types.Instant) []effect.Effect {
	if !m.role.Leading {
		return nil
	}
	return m.driveEach(now, m.state.Services())
}

func (m *Manager) driveEach(now types.Instant, services []types.ServiceName) []effect.Effect {
	var out []effect.Effect
	for _, name := range services {
		out = append(out, m.drive(now, name)...)
	}
	return out
}

// drive does what the phase of a group calls for now. It may be called at any
// time.
func (m *Manager) drive(now types.Instant, service types.ServiceName) []effect.Effect {
	g := m.state.Group(service)
	if !m.role.Leading || g == nil {
		return nil
	}
	gr := m.group(service)
	delete(m.waiting, service)
	if g.Phase == types.GroupQuiescing || g.Phase == types.GroupFencing {
		m.waiting[service] = true
	}
	switch g.Phase {
	case types.GroupForming:
		return m.driveForming(now, g, gr)
	case types.GroupServing:
		return m.driveServing(now, g, gr)
	case types.GroupQuiescing:
		return m.driveQuiescing(now, g, gr)
	case types.GroupFencing:
		return m.driveFencing(now, g, gr)
	}
	return nil
}

// driveForming begins the first term once every member has announced itself.
func (m *Manager) driveForming(now types.Instant, g *types.Group, gr *group) []effect.Effect {
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

// beginTermAfter proposes the term that follows last, which may be a later one
// than the group's.
func (m *Manager) beginTermAfter(now types.Instant, g *types.Group, gr *group, last types.Term, reason string) []effect.Effect {
	return m.propose(now, gr, last+1, proto.Command{BeginTerm: &proto.BeginTerm{
		Service: g.Service, Term: last + 1, Prefer: gr.prefer, Reason: reason,
	}})
}

// propose replicates a command unless one about the same term is under way.
func (m *Manager) propose(now types.Instant, gr *group, term types.Term, c proto.Command) []effect.Effect {
	if gr.proposedAt != 0 && gr.proposed == term && now.Sub(gr.proposedAt) < repeatAfter {
		return nil
	}
	gr.proposedAt, gr.proposed = now, term
	return []effect.Effect{effect.Propose{Command: c}}
}

// call asks a member to do something.
func (m *Manager) call(g *types.Group, t types.Target, op types.Operation) effect.Effect {
	m.last++
	m.calls[m.last] = call{service: g.Service, term: g.Term, target: t.Name, kind: op.Kind}
	return effect.CallTarget{
		Call: m.last, Service: g.Service, Target: t, Operation: op, Timeout: callTimeout,
	}
}

// replied takes in the answer to a question of the current term.
func (m *Manager) replied(now types.Instant, e event.TargetReplied) []effect.Effect {
	c, ok := m.calls[e.Call]
	delete(m.calls, e.Call)
	g := m.state.Group(c.service)
	if !ok || !m.role.Leading || g == nil || g.Term != c.term {
		return nil
	}
	gr := m.group(c.service)
	switch c.kind {
	case types.OpPosition:
		return m.positionRead(now, g, gr, c.target, e)
	case types.OpPromote:
		return m.promoted(now, g, gr, c.target, e)
	case types.OpFollow:
		return m.followed(now, gr, c.target, e)
	}
	return nil
}

func arm(service types.ServiceName, at types.Instant) effect.Effect {
	key := xxhash.Sum64String(string(service))
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainPromotion, Key: key}, At: at}
}
