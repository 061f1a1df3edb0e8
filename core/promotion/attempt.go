package promotion

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// stage is a step of a promotion.
type stage uint8

// The stages, in their order.
const (
	stageFence   stage = iota // wait until every proxy has applied the new term
	stageRead                 // read the positions of the members
	stagePromote              // wait for the chosen member to become primary
	stageConfirm              // wait for the external promotion service to confirm a member that is already primary
	stageServe                // wait until the choice is committed
)

// attempt is a promotion that this leader began: the term's BeginTerm was
// committed while it led.
type attempt struct {
	term            types.Term
	viewVersion     uint64 // view that all proxies have to act on first
	startedAt       types.Instant
	stage           stage
	ordered         bool
	catchUpDeadline types.Instant // until when an ordered change waits for the chosen member
	waitReportedAt  types.Instant // when it was reported last what the attempt waits for, or zero
	statuses        map[types.TargetName]types.TargetStatus
	requestedAt     map[types.TargetName]types.Instant // when each position was requested last
	failures        map[types.TargetName]string        // why the last request for a position failed
	failedCalls     map[types.TargetName]int           // consecutive requests for a position that failed
	returnedAt      map[types.TargetName]types.Instant // when a member first answered after returnFailures
	quorumAt        types.Instant                      // when a quorum had answered
	preferred       types.TargetName                   // member that an operator chose
	avoided         types.TargetName                   // primary that the proxies can't reach
	chosen          types.TargetName
	replyDeadline   types.Instant // when to abandon the chosen member
	startPos        types.LogPos  // position at which the chosen member was promoted
	logTerm         types.Term    // term that the targets report, if an external promotion service promotes them
	refused         bool          // the external promotion service refused the promotion
	answeredAt      types.Instant // when the external promotion service carried out the request, or zero
}

// startAttempt starts the promotion in a term that was just committed.
func (m *Manager) startAttempt(now types.Instant, c proto.BeginTerm) []effect.Effect {
	gr := m.clearProposal(c.Service)
	g := m.state.Group(c.Service)
	if g == nil || g.Term != c.Term || g.Phase != types.GroupFencing {
		return nil
	}
	gr.attempt = &attempt{
		term: c.Term, viewVersion: m.fenceVersion(g), startedAt: now,
		ordered: gr.ordered, preferred: c.Prefer, catchUpDeadline: now.Add(gr.catchUpTimeout()),
		statuses:    make(map[types.TargetName]types.TargetStatus),
		requestedAt: make(map[types.TargetName]types.Instant),
		failures:    make(map[types.TargetName]string),
		failedCalls: make(map[types.TargetName]int),
		returnedAt:  make(map[types.TargetName]types.Instant),
	}
	if m.managed(g) {
		gr.attempt.catchUpDeadline = now.Add(managedCatchUpTimeout)
	}
	gr.attempt.avoided, gr.avoided = gr.avoided, ""
	gr.preferred, gr.supersededSince, gr.quiesceStartedAt, gr.ordered = "", 0, 0, false
	return m.advance(now, c.Service)
}

// catchUpTimeout returns how long the next ordered change waits for the chosen
// member to catch up.
func (gr *group) catchUpTimeout() time.Duration {
	timeout := catchUpTimeout
	for range gr.leaveAttempts - 1 {
		timeout = min(2*timeout, maxCatchUpTimeout)
	}
	return timeout
}

// advanceFencing takes the next step of a promotion. It doesn't continue a
// term that an earlier leader began, because that leader may have promoted a
// member in it; it begins another term instead.
func (m *Manager) advanceFencing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	a := gr.attempt
	if a == nil || a.term != g.Term {
		return m.beginTerm(now, g, gr, fmt.Sprintf("this leader has no promotion in progress in term %d", g.Term))
	}
	switch a.stage {
	case stageFence:
		return m.awaitFence(now, g, gr)
	case stageRead:
		return m.readPositions(now, g, gr)
	case stagePromote:
		return m.awaitPromotion(now, g, gr)
	case stageConfirm:
		return m.awaitConfirmation(now, g, gr)
	case stageServe:
		return m.proposeServing(now, g, gr)
	}
	return nil
}

// fenceVersion returns the version of the view that all proxies must act on before a
// member is promoted. A group that never had a primary has no earlier term that a proxy
// could use, but its service may have been configured before, with another group.
func (m *Manager) fenceVersion(g *types.Group) uint64 {
	if !g.Served() {
		return m.state.ConfigSince()
	}
	return m.state.GroupVersion(g.Service)
}

// awaitFence waits until no proxy uses an earlier term.
func (m *Manager) awaitFence(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	a := gr.attempt
	if m.leases.Fenced(a.viewVersion, now) {
		a.stage = stageRead
		return m.readPositions(now, g, gr)
	}
	m.fencing[g.Service], m.fencedVersion = a.viewVersion, 0
	out := a.reportWait(now, g, func() string { return m.unfencedProxies(now, a) })
	at := min(m.leases.FencedAt(a.viewVersion), a.nextWaitReportAt())
	return append(out, armTimer(g.Service, max(at, now+1)))
}

// readPositions asks the members for their positions, and chooses one when
// enough have answered.
func (m *Manager) readPositions(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	a := gr.attempt
	if m.managed(g) {
		if chosen, leads, ok := m.chooseManaged(now, g, gr); leads {
			return m.adopt(now, g, gr, chosen)
		} else if ok {
			return m.requestPromotion(now, g, gr, chosen)
		}
	} else if chosen, ok := m.choose(now, g, a); ok {
		return m.promote(now, g, a, chosen)
	}
	out := a.reportWait(now, g, func() string { return m.missingPositions(g, a) })
	retry := a.retryInterval()
	for _, t := range g.Members {
		if _, ok := a.statuses[t.Name]; ok && !a.pollsPositions() {
			continue
		}
		if at, ok := a.requestedAt[t.Name]; ok && now.Sub(at) < retry {
			continue
		}
		a.requestedAt[t.Name] = now
		out = append(out, m.call(g, t, types.Operation{Kind: types.OpPosition}))
	}
	next := now.Add(retry)
	if grace := a.quorumAt.Add(readGrace); a.quorumAt != 0 && now < grace {
		next = min(next, grace)
	}
	return append(out, armTimer(g.Service, next))
}

// pollsPositions reports whether answered members are asked again, since an
// ordered change waits for one to catch up.
func (a *attempt) pollsPositions() bool { return a.ordered && a.quorumAt != 0 }

// retryInterval returns the time until a member is asked again.
func (a *attempt) retryInterval() time.Duration {
	if a.pollsPositions() {
		return catchUpInterval
	}
	return retryInterval
}

// handlePosition handles the position of a member during an attempt.
func (m *Manager) handlePosition(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	if g.Phase == types.GroupServing {
		return append(m.handlePrimaryChecked(now, g, gr, e), m.handleLogPosition(now, g, gr, name, e)...)
	}
	a := gr.attempt
	if a == nil || a.term != g.Term || a.stage != stageRead && a.stage != stagePromote {
		return nil
	}
	if e.Err != nil || e.Result.Err != types.TargetErrNone {
		a.failures[name] = failureOf(e)
		a.failedCalls[name]++
		return nil // readPositions asks again
	}
	a.recordAnswer(now, name)
	if m.managed(g) {
		return m.handleManagedPosition(now, g, gr, name, e.Result.Status)
	}
	if a.stage != stageRead {
		return nil
	}
	if e.Result.Status.Term >= g.Term { // no member has been promoted in g.Term yet
		return m.beginTermAfter(now, g, gr, e.Result.Status.Term, fmt.Sprintf("target %s already reports term %d", name, e.Result.Status.Term))
	}
	a.statuses[name] = e.Result.Status
	if a.quorumAt == 0 && len(a.statuses) >= m.requiredAnswers(g) {
		a.quorumAt = now
	}
	return m.readPositions(now, g, gr)
}

// requiredAnswers returns how many members have to answer: a quorum of the
// configured size, or all of them before the first term has a primary.
func (m *Manager) requiredAnswers(g *types.Group) int {
	if len(g.History) == 0 {
		return m.size(g)
	}
	return types.Quorum(m.size(g))
}

// promote asks the chosen member to become primary.
func (m *Manager) promote(now types.Instant, g *types.Group, a *attempt, chosen types.Target) []effect.Effect {
	a.stage, a.chosen = stagePromote, chosen.Name
	a.replyDeadline = now.Add(2 * callTimeout)
	return []effect.Effect{
		m.call(g, chosen, types.Operation{Kind: types.OpPromote, Term: g.Term}),
		armTimer(g.Service, a.replyDeadline),
	}
}

// awaitPromotion abandons the attempt when the chosen member has not answered
// by replyDeadline.
func (m *Manager) awaitPromotion(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if m.managed(g) {
		return m.awaitManagedPromotion(now, g, gr)
	}
	if now < gr.attempt.replyDeadline {
		return []effect.Effect{armTimer(g.Service, gr.attempt.replyDeadline)}
	}
	return m.abandon(now, g, gr)
}

// abandon begins another term, because the chosen member may have become
// primary although its answer is missing.
func (m *Manager) abandon(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	reason := gr.attempt.failureReason()
	if m.managed(g) && gr.unansweredRequests < maxUnansweredRequests {
		gr.avoided = gr.attempt.avoided // its failure is still the reason for the next attempt
	}
	gr.attempt = nil
	return m.beginTerm(now, g, gr, reason)
}

// handlePromoted proposes to commit the choice when the chosen member reports
// itself as primary of the term.
func (m *Manager) handlePromoted(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	if m.managed(g) {
		return m.handlePromotionReply(now, g, gr, name, e)
	}
	a := gr.attempt
	if a == nil || a.term != g.Term || a.stage != stagePromote || a.chosen != name {
		return nil
	}
	s := e.Result.Status
	if e.Err != nil || e.Result.Err != types.TargetErrNone || s.Term != g.Term || !s.Primary {
		return m.abandon(now, g, gr)
	}
	a.stage, a.startPos = stageServe, s.Pos
	return m.proposeServing(now, g, gr)
}

// proposeServing proposes the chosen member as the primary of the term.
func (m *Manager) proposeServing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	out := m.propose(now, gr, g.Term, proto.Command{ServeTerm: &proto.ServeTerm{
		Service: g.Service, Term: g.Term, Primary: gr.attempt.chosen, Start: gr.attempt.startPos.Offset, Last: gr.attempt.startPos.Term,
		LogTerm: gr.attempt.logTerm, Unconfirmed: m.servesUnconfirmed(g, gr, gr.attempt.chosen),
	}})
	return append(out, armTimer(g.Service, now.Add(reproposeAfter)))
}
