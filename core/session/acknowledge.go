package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// answerCheck says whether an answer of a target may go to the caller.
type answerCheck struct {
	ok     bool
	wait   bool              // for a newer view
	code   types.RefusalCode // when neither
	reason string
}

// acknowledge gives the caller its answer, waits, or refuses. It runs when the
// target answered and again with each new view.
func (s *Shard) acknowledge(r *request) {
	v := s.checkAnswer(r)
	switch {
	case v.ok:
		delete(r.service.waiting, r)
		s.raiseFloor(r)
		s.reply(r)
	case v.wait:
		s.awaitPosition(r, stageDurable)
	default:
		delete(r.service.waiting, r)
		s.attemptFailed(r, true, v.code, v.reason)
	}
}

func (s *Shard) checkAnswer(r *request) answerCheck {
	if r.service.managed(s.view) {
		return answerCheck{ok: true} // the target or the lease at the time of sending vouches for it
	}
	if !s.leaseLive() {
		return answerCheck{
			wait: r.writes() && r.answer.Tx == types.TxIdle,
			code: types.RefuseNoLease, reason: "the proxy's lease ran out before the answer came",
		}
	}
	if r.replica {
		return s.checkReplicaAnswer(r)
	}
	g := s.view.Group(r.service.name)
	if !hasPrimary(g) || g.Primary != r.target || g.TargetTerm() != r.sentTerm {
		return targetReplaced(r)
	}
	if r.answer.Tx != types.TxIdle {
		return answerCheck{ok: true}
	}
	if !r.statusKnown {
		return answerCheck{code: types.RefuseNotDurable, reason: fmt.Sprintf("target %s gave no position", r.target)}
	}
	if !r.status.Primary || r.status.Term != g.TargetTerm() {
		return targetReplaced(r)
	}
	if r.writes() && r.profile.Durability == types.DurableMajority && !s.durable(r.service, g, r) {
		return answerCheck{wait: true}
	}
	return answerCheck{ok: true}
}

// checkReplicaAnswer accepts an answer when the replica stands in the term that it
// stood in when it was chosen, and still holds what it was chosen for.
func (s *Shard) checkReplicaAnswer(r *request) answerCheck {
	g := s.view.Group(r.service.name)
	if !r.statusKnown && r.answer.Tx != types.TxIdle {
		return answerCheck{ok: true}
	}
	if g == nil || !r.statusKnown || r.status.Term != r.sentTerm {
		return targetReplaced(r)
	}
	if !g.History.Covers(r.status.Pos, r.chosenPos) {
		return answerCheck{code: types.RefuseReplaced, reason: fmt.Sprintf("replica %s has lost entries", r.target)}
	}
	return answerCheck{ok: true}
}

func targetReplaced(r *request) answerCheck {
	return answerCheck{
		code:   types.RefuseReplaced,
		reason: fmt.Sprintf("target %s was replaced in term %d before the answer could be confirmed", r.target, r.sentTerm),
	}
}

// durable reports whether a majority of the group holds the request's
// position, and the position is of the current term: what a majority holds of
// an earlier one can still be replaced by a member of a term in between.
func (s *Shard) durable(svc *service, g *types.Group, r *request) bool {
	if r.status.Pos.Term != g.TargetTerm() {
		return false
	}
	holders := 1 // the primary
	for _, m := range g.Members {
		if m.Name == g.Primary {
			continue
		}
		h := svc.health(s.view, m.Name)
		if h.Term == g.TargetTerm() && g.History.Covers(h.Pos, r.status.Pos) {
			holders++
		}
	}
	return holders >= types.Quorum(s.groupSize(svc, g))
}

// raiseFloor makes the session's later reads cover what this answer showed.
func (s *Shard) raiseFloor(r *request) {
	f := &r.session.floor
	g := s.view.Group(r.service.name)
	if f.known && g != nil && !g.History.Survives(f.seen, g.TargetTerm()) {
		f.lost = f.seen // a read by age comes before the one that is told
	}
	switch {
	case !r.statusKnown:
	case r.service.managed(s.view):
		if r.Commits {
			f.known = true
			f.raiseWritten(r.status.Pos)
		}
	case r.replica:
		f.raiseSeen(r.status.Pos)
	case !f.known:
		f.initialize(r.status.Pos)
	case r.writes():
		f.raiseWritten(r.status.Pos)
	default:
		f.raiseSeen(r.status.Pos)
	}
}
