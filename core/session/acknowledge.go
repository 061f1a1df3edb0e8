package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// answerCheck is the result of checking whether a target's answer may be
// relayed to the caller.
type answerCheck struct {
	ok     bool
	wait   bool              // check again with a newer view
	code   types.RefusalCode // of the refusal, if the answer is neither relayed nor waited for
	reason string
}

// acknowledge relays the target's answer to the caller, waits, or refuses the
// request. It runs when the target has answered and again with each new view.
func (s *Shard) acknowledge(r *request) {
	check := s.checkAnswer(r)
	switch {
	case check.ok:
		delete(r.service.waiting, r)
		s.raiseFloor(r)
		s.reply(r)
	case check.wait:
		s.awaitView(r, stageDurable)
	default:
		delete(r.service.waiting, r)
		s.attemptFailed(r, true, check.code, check.reason)
	}
}

// checkAnswer checks an answer against the lease, the term and the durability
// that the profile requires.
func (s *Shard) checkAnswer(r *request) answerCheck {
	if r.service.managed(s.view) {
		return s.checkManagedAnswer(r)
	}
	if !s.leaseLive() {
		return answerCheck{
			wait: r.writes() && r.answer.Tx == types.TxIdle,
			code: types.RefuseNoLease, reason: "the proxy's lease expired before the answer could be confirmed",
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
		return answerCheck{code: types.RefuseNotDurable, reason: fmt.Sprintf("target %s answered without a log position", r.target)}
	}
	if !r.status.Primary || r.status.Term != g.TargetTerm() {
		return targetReplaced(r)
	}
	if r.writes() && r.profile.Durability == types.DurableMajority && !s.durable(r.service, g, r) {
		return answerCheck{wait: true}
	}
	return answerCheck{ok: true}
}

// checkManagedAnswer accepts the answer of a managed target, which checks floors itself.
// If it refuses writes once it is replaced, that and, for reads on the primary, a fence
// or the lease ruled out when the request was sent that it had been replaced. Otherwise
// only the lease does, at the time of sending and now. The success of a commit of a
// service with synchronous replicas needs the lease in any case.
func (s *Shard) checkManagedAnswer(r *request) answerCheck {
	switch {
	case !s.needsLease(r), r.sentUnderLease && s.underLease(r) && r.service.primary.term == r.sentTerm:
		if s.synchronous(r) && !r.failed {
			return s.checkSynchronousCommit(r)
		}
		return answerCheck{ok: true}
	case !s.leaseLive():
		return answerCheck{code: types.RefuseNoLease, reason: "the proxy's lease expired before the answer could be confirmed"}
	}
	return targetReplaced(r)
}

// checkReplicaAnswer accepts an answer if the replica is still in the term that
// it was selected in, and still holds the position that it was selected for.
func (s *Shard) checkReplicaAnswer(r *request) answerCheck {
	g := s.view.Group(r.service.name)
	if !r.statusKnown && r.answer.Tx != types.TxIdle {
		return answerCheck{ok: true}
	}
	if g == nil || !r.statusKnown || r.status.Term != r.sentTerm {
		return targetReplaced(r)
	}
	if !g.History.Covers(r.status.Pos, r.selectedPos) {
		return answerCheck{
			code:   types.RefuseReplaced,
			reason: fmt.Sprintf("replica %s has lost entries: it no longer holds position %s", r.target, r.selectedPos),
		}
	}
	return answerCheck{ok: true}
}

func targetReplaced(r *request) answerCheck {
	return answerCheck{
		code:   types.RefuseReplaced,
		reason: fmt.Sprintf("target %s could no longer be confirmed in its role of term %d when it had answered", r.target, r.sentTerm),
	}
}

// durable reports whether a majority of the group holds the request's position
// and the position is of the current term. An entry of an earlier term can
// still be overwritten by a primary of a term in between, even if a majority
// holds it.
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

// raiseFloor makes the session's later reads cover the position of this answer.
func (s *Shard) raiseFloor(r *request) {
	f := &r.session.floor
	g := s.view.Group(r.service.name)
	if f.known && g != nil && !g.History.Survives(f.seen, g.TargetTerm()) {
		f.lost = f.seen // raising seen below would hide the loss from the session
	}
	switch {
	case !r.statusKnown:
	case r.service.managed(s.view):
		if r.MayCommit {
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
