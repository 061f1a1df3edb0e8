package promotion

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Times of promotions that an outside service carries out.
const (
	// managedBound is how long the outside service may take from the call until
	// the chosen member leads. The platforms at hand take 0.3 to 1 s.
	managedBound = 2500 * time.Millisecond
	// managedPoll is the time between two looks at the chosen member.
	managedPoll = 50 * time.Millisecond
	// readTimeout is how long positions of a majority are awaited before fewer
	// are enough: three tries of callTimeout, and some.
	readTimeout = 800 * time.Millisecond
	// managedCatchUp is how long an ordered change waits for a replica to hold
	// all that the primary holds. A primary that leaves goes on for 7 s on the
	// platforms at hand, of which quiescing and the promotion take up to 3 s.
	managedCatchUp = 3 * time.Second
	// formBound is how long a new group waits for a member that leads already
	// before one is promoted. Members announce themselves every 1.2 s on the
	// platforms at hand, and may have to try three hosts for 1 s each.
	formBound = 5 * time.Second
	// avoidBound is how long an attempt leaves out the primary that the proxies
	// can't reach. If no other member can be promoted by then, it is better than
	// none.
	avoidBound = 2 * time.Second
	// maxUnanswered is after how many orders without an answer the primary that
	// the proxies could not reach is taken back if it leads.
	maxUnanswered = 2
)

// managed reports whether an outside service promotes the group's members.
func (m *Manager) managed(g *types.Group) bool { return m.state.Config().Managed(g.Service) }

// chooseManaged returns the member that leads already, or the furthest one once
// enough have answered. Replication is asynchronous, so no majority is needed.
func (m *Manager) chooseManaged(now types.Instant, g *types.Group, r *run) (t types.Target, leads, ok bool) {
	if !r.ordered && now.Sub(r.began) >= avoidBound {
		r.avoid = ""
	}
	if t, ok := leading(g, r); ok {
		return t, true, true
	}
	if len(g.History) == 0 && now.Sub(r.began) < formBound {
		return t, false, false // the primary may announce itself yet
	}
	answered := len(r.answers)
	if r.quorum == 0 && (answered >= types.Quorum(len(g.Members)) || answered > 0 && now.Sub(r.began) >= readTimeout) {
		r.quorum = now
	}
	if r.quorum == 0 {
		return t, false, false
	}
	best, found := m.furthestManaged(g, r)
	switch {
	case !found:
		return best, false, false
	case r.ordered && now < r.catchUp:
		return best, false, r.answers[best.Name].Pos == r.answers[r.avoid].Pos
	}
	return best, false, r.othersAnswered(g) || now >= r.quorum.Add(readGrace)
}

// othersAnswered reports whether all members have answered that may be promoted.
func (r *run) othersAnswered(g *types.Group) bool {
	for _, t := range g.Members {
		if _, ok := r.answers[t.Name]; !ok && t.Name != r.avoid {
			return false
		}
	}
	return true
}

// leading returns the member that leads the latest term, unless it is the one
// that has to be replaced.
func leading(g *types.Group, r *run) (types.Target, bool) {
	var latest types.Term
	for _, s := range r.answers {
		latest = max(latest, s.Term)
	}
	for _, t := range g.Members {
		s, ok := r.answers[t.Name]
		if ok && s.Primary && s.Term == latest && t.Name != r.avoid && latest >= g.LogTerm {
			return t, true
		}
	}
	return types.Target{}, false
}

// furthestManaged returns the member to promote: an active one before one that
// leaves, then the one with the furthest position.
func (m *Manager) furthestManaged(g *types.Group, r *run) (types.Target, bool) {
	var best types.Target
	found := false
	for _, t := range g.Members {
		s, ok := r.answers[t.Name]
		if !ok || t.Name == r.avoid {
			continue
		}
		stays, bestStays := t.State == types.TargetActive, best.State == types.TargetActive
		if !found || stays && !bestStays || stays == bestStays && before(r.answers[best.Name].Pos, s.Pos, r.rank(best), r.rank(t)) {
			best, found = t, true
		}
	}
	return best, found
}

// adopt takes over a member that leads already. An earlier order that may still
// be carried out would replace it under the leases of the proxies: the outside
// service is told of the member under the term's higher token first.
func (m *Manager) adopt(now types.Instant, g *types.Group, gr *group, t types.Target) []effect.Effect {
	r, s := gr.run, gr.run.answers[t.Name]
	r.chosen, r.start, r.logTerm = t.Name, s.Pos, s.Term
	if !gr.openOrder {
		r.stage = stageServe
		return m.serve(now, g, gr)
	}
	r.stage, r.replyBy = stageConfirm, now.Add(managedBound)
	return []effect.Effect{m.orderCall(g, t), arm(g.Service, r.replyBy)}
}

// awaitConfirmation goes on without an answer once its time is over: without a
// primary nothing can be written.
func (m *Manager) awaitConfirmation(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if now < gr.run.replyBy {
		return []effect.Effect{arm(g.Service, gr.run.replyBy)}
	}
	gr.run.stage = stageServe
	return m.serve(now, g, gr)
}

// order asks the outside service to promote the chosen member.
func (m *Manager) order(now types.Instant, g *types.Group, gr *group, chosen types.Target) []effect.Effect {
	r := gr.run
	r.stage, r.chosen = stagePromote, chosen.Name
	r.replyBy = now.Add(managedBound)
	gr.openOrder = true
	gr.unanswered++
	return []effect.Effect{m.orderCall(g, chosen), arm(g.Service, now.Add(managedPoll))}
}

func (m *Manager) orderCall(g *types.Group, t types.Target) effect.Effect {
	call := m.call(g, t, types.Operation{Kind: types.OpPromote, Term: g.Term}).(effect.CallTarget)
	call.Timeout = managedBound
	return call
}

// awaitOrder looks whether the chosen member leads by now. Another attempt, in a
// term of its own, follows when it does not in time.
func (m *Manager) awaitOrder(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	r := gr.run
	if now >= r.replyBy {
		return m.giveUp(now, g, gr)
	}
	out := []effect.Effect{arm(g.Service, now.Add(managedPoll))}
	if t, ok := g.Target(r.chosen); ok && now.Sub(r.asked[r.chosen]) >= managedPoll {
		r.asked[r.chosen] = now
		out = append(out, m.call(g, t, types.Operation{Kind: types.OpPosition}))
	}
	return out
}

// ordered takes in what the outside service answered. Only a refusal ends the
// attempt: without an answer the promotion may be under way.
func (m *Manager) ordered(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	r := gr.run
	if r == nil || r.term != g.Term || r.chosen != name || r.stage != stagePromote && r.stage != stageConfirm || e.Err != nil {
		return nil
	}
	switch e.Result.Err {
	case types.TargetErrStaleTerm:
		gr.unanswered = 0
		r.refused = true
		return m.giveUp(now, g, gr)
	case types.TargetErrNone:
		gr.openOrder, gr.unanswered = false, 0 // earlier ones have lower tokens
	}
	if r.stage == stageConfirm && !gr.openOrder {
		r.stage = stageServe
		return m.serve(now, g, gr)
	}
	return nil
}

// managedPosition takes in the position of a member during an attempt.
func (m *Manager) managedPosition(now types.Instant, g *types.Group, gr *group, name types.TargetName, s types.TargetStatus) []effect.Effect {
	r := gr.run
	if r.stage == stageRead {
		r.answers[name] = s
		return m.read(now, g, gr)
	}
	if r.stage != stagePromote || name != r.chosen || !s.Primary || s.Term <= r.answers[name].Term {
		return nil
	}
	r.stage, r.logTerm = stageServe, s.Term
	r.start = s.Pos
	return m.serve(now, g, gr)
}

// refusedReason says why an attempt to promote a member ended.
func (r *run) refusedReason() string {
	if r.refused {
		return fmt.Sprintf("the promotion of target %s was refused", r.chosen)
	}
	return fmt.Sprintf("target %s was not promoted", r.chosen)
}
