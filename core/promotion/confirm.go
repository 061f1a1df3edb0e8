package promotion

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// confirmRetryInterval is the time between two requests to confirm a primary.
	confirmRetryInterval = time.Second
	// promotionDuration is the longest time from the execution of a promotion
	// request until the member is primary. A request that was executed right
	// before the confirmation takes effect within it.
	promotionDuration = 1500 * time.Millisecond
)

// confirmation is the progress of this leader in confirming a primary that serves
// although an earlier promotion request may still replace it.
type confirmation struct {
	term        types.Term    // term that this leader began, whose token it may send again
	requested   bool          // a request is in flight
	requestedAt types.Instant // when the last request was sent
	answeredAt  types.Instant // when one was carried out, or zero; no earlier request is executed after that
	checkedAt   types.Instant // when the primary was asked last whether it still is the primary
	checkCall   uint64        // the call that asked
}

// addOpenRequest records a promotion request that may be executed.
func (gr *group) addOpenRequest(name types.TargetName) {
	if gr.openRequest && gr.openTarget != name {
		name = ""
	}
	gr.openRequest, gr.openTarget = true, name
}

// clearOpenRequests records that no promotion request can be executed any more.
func (gr *group) clearOpenRequests() { gr.openRequest, gr.openTarget = false, "" }

// replaceable reports whether an open request may promote another member in place
// of the one named.
func (gr *group) replaceable(name types.TargetName) bool {
	return gr.openRequest && gr.openTarget != name
}

// servesUnconfirmed reports whether a new primary serves unconfirmed. Where targets
// go on after they were replaced, a primary can be used under a lease only, so that
// it has to count as confirmed.
func (m *Manager) servesUnconfirmed(g *types.Group, gr *group, primary types.TargetName) bool {
	return m.state.Config().SelfFenced(g.Service) && gr.replaceable(primary)
}

// confirmPrimary rules out that an earlier promotion request replaces the primary.
// It has the external promotion service promote the primary under a token that is
// higher than those of the earlier requests. Once an earlier request that had been
// executed before that would have taken effect, it asks the primary whether it is
// the primary of the same term still.
func (m *Manager) confirmPrimary(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	c := &gr.confirmation
	if c.term != g.Term {
		return m.beginTerm(now, g, gr, fmt.Sprintf("an earlier leader did not confirm primary %s of term %d", g.Primary, g.Term))
	}
	primary, ok := g.Target(g.Primary)
	if !ok {
		return nil
	}
	out := []effect.Effect{armTimer(g.Service, now.Add(retryInterval))}
	switch {
	case c.answeredAt == 0 && !c.requested && (c.requestedAt == 0 || now.Sub(c.requestedAt) >= confirmRetryInterval):
		c.requested, c.requestedAt = true, now
		out = append(out, m.promotionRequest(g, primary))
	case c.answeredAt != 0 && now.Sub(c.answeredAt) >= promotionDuration && now.Sub(c.checkedAt) >= retryInterval:
		c.checkedAt = now
		out = append(out, m.call(g, primary, types.Operation{Kind: types.OpPosition}))
		c.checkCall = m.lastCall
	}
	return out
}

// handleConfirmationReply handles the answer of the external promotion service to
// the request to confirm the primary.
func (m *Manager) handleConfirmationReply(now types.Instant, g *types.Group, gr *group, e event.TargetReplied) []effect.Effect {
	c := &gr.confirmation
	c.requested = false
	if e.Err == nil && e.Result.Err == types.TargetErrNone && !gr.replaceable(g.Primary) {
		gr.clearOpenRequests()
	}
	switch {
	case !g.Unconfirmed || c.term != g.Term || e.Err != nil:
		return nil // if unconfirmed, the group's timer sends the next request
	case e.Result.Err == types.TargetErrStaleTerm:
		return m.beginTerm(now, g, gr, fmt.Sprintf("the confirmation of primary %s was refused", g.Primary))
	case e.Result.Err == types.TargetErrNone:
		c.answeredAt, gr.unansweredRequests = now, 0
	}
	return m.advance(now, g.Service)
}

// handlePrimaryChecked confirms the primary if it has not been replaced since the
// earlier requests were ruled out. If it was, the proxies report that.
func (m *Manager) handlePrimaryChecked(now types.Instant, g *types.Group, gr *group, e event.TargetReplied) []effect.Effect {
	c := gr.confirmation
	if !g.Unconfirmed || c.term != g.Term || e.Call != c.checkCall || e.Err != nil || e.Result.Err != types.TargetErrNone || superseded(e.Result.Status, g) {
		return nil
	}
	return m.propose(now, gr, g.Term, proto.Command{Confirm: &proto.ConfirmPrimary{Service: g.Service, Term: g.Term}})
}

// handlePrimaryConfirmed records that the confirmation of a primary is committed.
func (m *Manager) handlePrimaryConfirmed(now types.Instant, c proto.ConfirmPrimary) []effect.Effect {
	gr := m.clearProposal(c.Service)
	if g := m.state.Group(c.Service); g != nil && g.Term == c.Term && !g.Unconfirmed {
		gr.clearOpenRequests()
	}
	return m.advance(now, c.Service)
}
