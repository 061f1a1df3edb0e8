package promotion

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Timing of promotions by the external promotion service.
const (
	// managedPromoteTimeout is how long the external promotion service may take
	// from the request until the chosen member is primary. Promotions take 0.3 to 1 s.
	managedPromoteTimeout = 2500 * time.Millisecond
	// managedPollInterval is the time between two position requests to the
	// chosen member.
	managedPollInterval = 50 * time.Millisecond
	// readTimeout is how long to wait for the positions of a majority before
	// fewer are enough: three tries of callTimeout and a margin.
	readTimeout = 800 * time.Millisecond
	// managedCatchUpTimeout is how long an ordered change waits until a
	// replica holds all that the primary holds. A leaving primary keeps
	// running for 7 s, of which quiescing and the promotion take up to 3 s.
	managedCatchUpTimeout = 3 * time.Second
	// formTimeout is how long a new group waits for a member that is already
	// primary before one is promoted. Members announce themselves every 1.2 s,
	// and may have to try three hosts for 1 s each.
	formTimeout = 5 * time.Second
	// avoidTimeout is how long an attempt skips the primary that the proxies
	// can't reach. If no other member could be promoted by then, that primary
	// is better than none.
	avoidTimeout = 2 * time.Second
	// maxUnansweredRequests is the number of consecutive unanswered promotion
	// requests after which the primary that the proxies couldn't reach is
	// accepted again if it is still primary.
	maxUnansweredRequests = 2
)

// managed reports whether an external promotion service promotes the group's
// members.
func (m *Manager) managed(g *types.Group) bool { return m.state.Config().Managed(g.Service) }

// chooseManaged returns the member that is already primary, or the most
// up-to-date one once enough members have answered. Where replication is
// asynchronous, no majority is needed.
func (m *Manager) chooseManaged(now types.Instant, g *types.Group, gr *group) (t types.Target, leads, ok bool) {
	a := gr.attempt
	if !a.ordered && now.Sub(a.startedAt) >= avoidTimeout {
		a.avoided = ""
	}
	if t, ok := reportedPrimary(g, a); ok {
		return t, true, true
	}
	if len(g.History) == 0 && now.Sub(a.startedAt) < formTimeout {
		return t, false, false // the primary may still announce itself
	}
	answered := len(a.statuses)
	if a.quorumAt == 0 && (answered >= types.Quorum(len(g.Members)) || answered > 0 && now.Sub(a.startedAt) >= readTimeout) {
		a.quorumAt = now
	}
	if a.quorumAt == 0 {
		return t, false, false
	}
	catchingUp := a.ordered && now < a.catchUpDeadline
	best, found := a.mostUpToDateManaged(g, g.Synchronous && !catchingUp)
	switch {
	case !found:
		return best, false, false
	case catchingUp:
		primary, answered := a.statuses[a.avoided]
		return best, false, answered && a.statuses[best.Name].Pos == primary.Pos
	case !m.holdsAcknowledged(now, g, gr, best):
		if a.ordered {
			a.avoided = "" // the leaving primary stays, since no member can take over without loss
		}
		return best, false, false
	}
	return best, false, a.othersAnswered(g) || now >= a.quorumAt.Add(readGrace)
}

// othersAnswered reports whether every member that may be promoted has
// answered.
func (a *attempt) othersAnswered(g *types.Group) bool {
	for _, t := range g.Members {
		if _, ok := a.statuses[t.Name]; !ok && t.Name != a.avoided {
			return false
		}
	}
	return true
}

// reportedPrimary returns the member that reports itself as primary of the
// latest term, unless it is the one to replace.
func reportedPrimary(g *types.Group, a *attempt) (types.Target, bool) {
	var latest types.Term
	for _, s := range a.statuses {
		latest = max(latest, s.Term)
	}
	for _, t := range g.Members {
		s, ok := a.statuses[t.Name]
		if ok && s.Primary && s.Term == latest && t.Name != a.avoided && latest >= g.LogTerm {
			return t, true
		}
	}
	return types.Target{}, false
}

// mostUpToDateManaged returns the member to promote. The highest position decides, among
// the active members if there is one that may be promoted. With anyState, leaving members
// count as much as active ones.
func (a *attempt) mostUpToDateManaged(g *types.Group, anyState bool) (types.Target, bool) {
	var best types.Target
	found := false
	for _, t := range g.Members {
		s, ok := a.statuses[t.Name]
		if !ok || t.Name == a.avoided {
			continue
		}
		active, bestActive := t.State == types.TargetActive, best.State == types.TargetActive
		byPosition := anyState || active == bestActive
		if !found || !byPosition && active || byPosition && ranksBelow(a.statuses[best.Name].Pos, s.Pos, a.rank(best), a.rank(t)) {
			best, found = t, true
		}
	}
	return best, found
}

// adopt accepts a member that is already primary. An earlier promotion request
// that may still be executed would replace this member while proxies hold
// leases for it. Therefore the external promotion service is first asked to
// promote this member under the term's higher token, which invalidates the
// earlier request.
func (m *Manager) adopt(now types.Instant, g *types.Group, gr *group, t types.Target) []effect.Effect {
	a, s := gr.attempt, gr.attempt.statuses[t.Name]
	a.chosen, a.startPos, a.logTerm = t.Name, s.Pos, s.Term
	if !gr.replaceable(t.Name) {
		a.stage = stageServe
		return m.proposeServing(now, g, gr)
	}
	gr.addOpenRequest(t.Name)
	a.stage, a.replyDeadline = stageConfirm, now.Add(managedPromoteTimeout)
	return []effect.Effect{m.promotionRequest(g, t), armTimer(g.Service, a.replyDeadline)}
}

// awaitConfirmation proceeds without an answer after replyDeadline, since
// nothing can be written without a primary. Such a primary serves unconfirmed.
func (m *Manager) awaitConfirmation(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if now < gr.attempt.replyDeadline {
		return []effect.Effect{armTimer(g.Service, gr.attempt.replyDeadline)}
	}
	gr.attempt.stage = stageServe
	return m.proposeServing(now, g, gr)
}

// requestPromotion asks the external promotion service to promote the chosen
// member.
func (m *Manager) requestPromotion(now types.Instant, g *types.Group, gr *group, chosen types.Target) []effect.Effect {
	a := gr.attempt
	a.stage, a.chosen = stagePromote, chosen.Name
	a.replyDeadline = now.Add(managedPromoteTimeout)
	gr.addOpenRequest(chosen.Name)
	gr.unansweredRequests++
	return []effect.Effect{m.promotionRequest(g, chosen), armTimer(g.Service, now.Add(managedPollInterval))}
}

// promotionRequest returns a call that promotes a member under the group's
// term as token.
func (m *Manager) promotionRequest(g *types.Group, t types.Target) effect.Effect {
	call := m.call(g, t, types.Operation{Kind: types.OpPromote, Term: g.Term}).(effect.CallTarget)
	call.Timeout = managedPromoteTimeout
	return call
}

// awaitManagedPromotion polls whether the chosen member is primary. If it is
// not by replyDeadline, another attempt follows in a new term.
func (m *Manager) awaitManagedPromotion(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	a := gr.attempt
	if now >= a.replyDeadline {
		return m.abandon(now, g, gr)
	}
	out := a.reportWait(now, g, func() string { return fmt.Sprintf("target %s has not become primary", a.chosen) })
	out = append(out, armTimer(g.Service, now.Add(managedPollInterval)))
	if t, ok := g.Target(a.chosen); ok && now.Sub(a.requestedAt[a.chosen]) >= managedPollInterval {
		a.requestedAt[a.chosen] = now
		out = append(out, m.call(g, t, types.Operation{Kind: types.OpPosition}))
	}
	return out
}

// handlePromotionReply handles the answer of the external promotion service.
// Only a refusal ends the attempt: if the answer is missing, the promotion may
// still be in progress.
func (m *Manager) handlePromotionReply(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	if g.Phase == types.GroupServing {
		return m.handleConfirmationReply(now, g, gr, e)
	}
	a := gr.attempt
	if a == nil || a.term != g.Term || a.chosen != name || a.stage != stagePromote && a.stage != stageConfirm || e.Err != nil {
		return nil
	}
	switch e.Result.Err {
	case types.TargetErrStaleTerm:
		gr.unansweredRequests = 0
		a.refused = true
		return m.abandon(now, g, gr)
	case types.TargetErrNone:
		a.answeredAt, gr.unansweredRequests = now, 0
		if a.stage == stagePromote && !m.state.Config().Synchronous(g.Service) || !m.servesUnconfirmed(g, gr, name) {
			gr.clearOpenRequests() // earlier requests have lower tokens
		}
	}
	if a.stage == stageConfirm && a.answeredAt != 0 {
		a.stage = stageServe
		return m.proposeServing(now, g, gr)
	}
	return nil
}

// handleManagedPosition handles the position of a member during an attempt.
func (m *Manager) handleManagedPosition(now types.Instant, g *types.Group, gr *group, name types.TargetName, s types.TargetStatus) []effect.Effect {
	a := gr.attempt
	if a.stage == stageRead {
		a.statuses[name] = s
		return m.readPositions(now, g, gr)
	}
	if a.stage != stagePromote || name != a.chosen || !s.Primary || s.Term <= a.statuses[name].Term {
		return nil
	}
	a.stage, a.logTerm = stageServe, s.Term
	a.startPos = s.Pos
	return m.proposeServing(now, g, gr)
}

// failureReason says why a promotion attempt failed.
func (a *attempt) failureReason() string {
	if a.refused {
		return fmt.Sprintf("the promotion of target %s was refused", a.chosen)
	}
	return fmt.Sprintf("target %s did not confirm its promotion in term %d", a.chosen, a.term)
}
