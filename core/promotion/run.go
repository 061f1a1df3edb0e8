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
	stageFence   stage = iota // wait until every proxy acts on the new term
	stageRead                 // read positions
	stagePromote              // the chosen member is asked to become primary
	stageConfirm              // a member that leads already is confirmed to the outside service
	stageServe                // the choice is being committed
)

// run is a promotion that this leader began, or that it found committed by its
// own proposal.
type run struct {
	term    types.Term
	version uint64 // view that began the term
	began   types.Instant
	stage   stage
	ordered bool
	catchUp types.Instant // end of the wait of an ordered change
	stalled bool          // the wait was reported
	answers map[types.TargetName]types.TargetStatus
	asked   map[types.TargetName]types.Instant // position questions under way
	quorum  types.Instant                      // when a quorum had answered
	prefer  types.TargetName                   // an operator's choice
	avoid   types.TargetName                   // the primary that the proxies can't reach
	chosen  types.TargetName
	replyBy types.Instant // when the chosen member has answered at the latest
	start   types.LogPos  // position at which the chosen member was promoted
	logTerm types.Term    // term that the targets count, if an outside service promotes them
	refused bool          // the outside service refused the promotion
}

// begun starts the promotion of a term that was just committed.
func (m *Manager) begun(now types.Instant, c proto.BeginTerm) []effect.Effect {
	gr := m.settled(c.Service)
	g := m.state.Group(c.Service)
	if g == nil || g.Term != c.Term || g.Phase != types.GroupFencing {
		return nil
	}
	gr.run = &run{
		term: c.Term, version: m.state.GroupVersion(c.Service), began: now,
		ordered: gr.ordered, prefer: c.Prefer, catchUp: now.Add(gr.catchUpBound()),
		answers: make(map[types.TargetName]types.TargetStatus),
		asked:   make(map[types.TargetName]types.Instant),
	}
	if m.managed(g) {
		gr.run.catchUp = now.Add(managedCatchUp)
	}
	gr.run.avoid, gr.avoid = gr.avoid, ""
	gr.prefer, gr.demoted, gr.quiesced, gr.ordered = "", 0, 0, false
	return m.drive(now, c.Service)
}

// catchUpBound returns how long the next ordered change waits for its target.
func (gr *group) catchUpBound() time.Duration {
	bound := catchUpBound
	for range gr.moves - 1 {
		bound = min(2*bound, maxCatchUpBound)
	}
	return bound
}

// driveFencing takes the next step of a promotion. A term that an earlier
// leader began is not taken up, because it may have promoted a member in it.
func (m *Manager) driveFencing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	r := gr.run
	if r == nil || r.term != g.Term {
		return m.beginTerm(now, g, gr, "no promotion is under way in the term")
	}
	switch r.stage {
	case stageFence:
		return m.fence(now, g, gr)
	case stageRead:
		return m.read(now, g, gr)
	case stagePromote:
		return m.awaitPromotion(now, g, gr)
	case stageConfirm:
		return m.awaitConfirmation(now, g, gr)
	case stageServe:
		return m.serve(now, g, gr)
	}
	return nil
}

// fence waits until no proxy acts on the earlier term.
func (m *Manager) fence(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	r := gr.run
	if m.leases.Fenced(r.version, now) {
		r.stage = stageRead
		return m.read(now, g, gr)
	}
	var out []effect.Effect
	if waiting := m.leases.Unfenced(r.version, now); !r.stalled && now.Sub(r.began) >= retryInterval && len(waiting) > 0 {
		r.stalled = true
		out = append(out, effect.Decide{
			Kind: effect.DecidePromoteStall, Service: g.Service, Term: g.Term, Host: waiting[0],
			Reason: fmt.Sprintf("%d proxies have not confirmed the term", len(waiting)),
		})
	}
	at := m.leases.FencedAt(r.version)
	if !r.stalled {
		at = min(at, r.began.Add(retryInterval))
	}
	return append(out, arm(g.Service, max(at, now+1)))
}

// read asks every member for its position, and chooses when enough answered.
func (m *Manager) read(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	r := gr.run
	if m.managed(g) {
		if chosen, leads, ok := m.chooseManaged(now, g, r); leads {
			return m.adopt(now, g, gr, chosen)
		} else if ok {
			return m.order(now, g, gr, chosen)
		}
	} else if chosen, ok := m.choose(now, g, r); ok {
		return m.promote(now, g, r, chosen)
	}
	var out []effect.Effect
	retry := r.retryInterval()
	for _, t := range g.Members {
		if _, ok := r.answers[t.Name]; ok && !r.rereads() {
			continue
		}
		if at, ok := r.asked[t.Name]; ok && now.Sub(at) < retry {
			continue
		}
		r.asked[t.Name] = now
		out = append(out, m.call(g, t, types.Operation{Kind: types.OpPosition}))
	}
	next := now.Add(retry)
	if grace := r.quorum.Add(readGrace); r.quorum != 0 && now < grace {
		next = min(next, grace)
	}
	return append(out, arm(g.Service, next))
}

// rereads reports whether positions may still move towards the preferred one.
func (r *run) rereads() bool { return r.ordered && r.quorum != 0 }

// retryInterval returns the time until a member is asked again.
func (r *run) retryInterval() time.Duration {
	if r.rereads() {
		return catchUpInterval
	}
	return retryInterval
}

func (m *Manager) positionRead(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	r := gr.run
	if r == nil || r.term != g.Term || r.stage != stageRead && r.stage != stagePromote {
		return nil
	}
	if e.Err != nil || e.Result.Err != types.TargetErrNone {
		return nil // asked again at the next try
	}
	if m.managed(g) {
		return m.managedPosition(now, g, gr, name, e.Result.Status)
	}
	if r.stage != stageRead {
		return nil
	}
	if e.Result.Status.Term >= g.Term { // nobody was promoted in this term yet
		return m.beginTermAfter(now, g, gr, e.Result.Status.Term, fmt.Sprintf("target %s has known a later term", name))
	}
	r.answers[name] = e.Result.Status
	if r.quorum == 0 && len(r.answers) >= m.needed(g) {
		r.quorum = now
	}
	return m.read(now, g, gr)
}

// needed returns how many members have to answer: a quorum of the configured
// size, and all of them before the first term has a primary.
func (m *Manager) needed(g *types.Group) int {
	if len(g.History) == 0 {
		return m.size(g)
	}
	return types.Quorum(m.size(g))
}

// promote asks the chosen member to become primary.
func (m *Manager) promote(now types.Instant, g *types.Group, r *run, chosen types.Target) []effect.Effect {
	r.stage, r.chosen = stagePromote, chosen.Name
	r.replyBy = now.Add(2 * callTimeout)
	return []effect.Effect{
		m.call(g, chosen, types.Operation{Kind: types.OpPromote, Term: g.Term}),
		arm(g.Service, r.replyBy),
	}
}

// awaitPromotion gives the term up when the chosen member has not answered.
func (m *Manager) awaitPromotion(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if m.managed(g) {
		return m.awaitOrder(now, g, gr)
	}
	if now < gr.run.replyBy {
		return []effect.Effect{arm(g.Service, gr.run.replyBy)}
	}
	return m.giveUp(now, g, gr)
}

// giveUp begins another term, because the chosen member may have become
// primary without saying so.
func (m *Manager) giveUp(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	reason := gr.run.refusedReason()
	if m.managed(g) && gr.unanswered < maxUnanswered {
		gr.avoid = gr.run.avoid // its failure is still the reason for the next attempt
	}
	gr.run = nil
	return m.beginTerm(now, g, gr, reason)
}

// promoted commits the choice.
func (m *Manager) promoted(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	if m.managed(g) {
		return m.ordered(now, g, gr, name, e)
	}
	r := gr.run
	if r == nil || r.term != g.Term || r.stage != stagePromote || r.chosen != name {
		return nil
	}
	s := e.Result.Status
	if e.Err != nil || e.Result.Err != types.TargetErrNone || s.Term != g.Term || !s.Primary {
		return m.giveUp(now, g, gr)
	}
	r.stage, r.start = stageServe, s.Pos
	return m.serve(now, g, gr)
}

func (m *Manager) serve(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	out := m.propose(now, gr, g.Term, proto.Command{ServeTerm: &proto.ServeTerm{
		Service: g.Service, Term: g.Term, Primary: gr.run.chosen, Start: gr.run.start.Offset, Last: gr.run.start.Term,
		LogTerm: gr.run.logTerm,
	}})
	return append(out, arm(g.Service, now.Add(repeatAfter)))
}
