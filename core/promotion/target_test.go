package promotion_test

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// fakeTarget is one member of the group.
type fakeTarget struct {
	harness        *harness
	name           types.TargetName
	term           types.Term
	primary        bool
	leader         types.TargetName
	pos            types.LogPos
	lag            time.Duration // time until its followers hold a write
	down           bool
	frozenUntil    types.Instant // answers nothing before this time
	leaving        bool
	crashOnPromote bool // crashes when asked to become primary
}

func (h *harness) addTarget(name types.TargetName) {
	t := &fakeTarget{harness: h, name: name, lag: 5 * time.Millisecond}
	h.targets[name] = t
	t.announce()
}

// announce sends an announcement to one proxy every two seconds.
func (t *fakeTarget) announce() {
	h := t.harness
	if !t.down && !h.blocked[string(t.name)] {
		h.proxies["p1"].step(event.Announced{Announcement: proto.Announcement{
			Service: service, Name: t.name, Address: types.Address(t.name), Leaving: t.leaving,
		}})
	}
	h.Schedule(2*time.Second, t.announce)
}

// write appends to the log of a primary. Its followers receive the write after
// the lag.
func (t *fakeTarget) write(n uint64) {
	t.pos = types.LogPos{Term: t.term, Offset: t.pos.Offset + n}
	pos, term := t.pos, t.term
	t.harness.Schedule(t.lag, func() {
		for _, f := range t.harness.targets {
			blocked := t.harness.blocked[string(t.name)] || t.harness.blocked[string(f.name)]
			if f.leader == t.name && f.term == term && !blocked && !f.down && f.pos.Compare(pos) < 0 {
				f.pos = pos
			}
		}
	})
}

func (t *fakeTarget) status() types.TargetStatus {
	return types.TargetStatus{Term: t.term, Primary: t.primary, Pos: t.pos}
}

func (t *fakeTarget) execute(op types.Operation) types.Result {
	switch op.Kind {
	case types.OpPromote:
		if op.Term < t.term {
			return types.Result{Err: types.TargetErrStaleTerm}
		}
		t.term, t.primary, t.leader = op.Term, true, ""
	case types.OpFollow:
		if t.harness.promotionService != nil {
			break // the external promotion service makes members follow
		}
		if op.Term < t.term {
			return types.Result{Err: types.TargetErrStaleTerm}
		}
		t.follow(op)
	}
	return types.Result{Status: t.status()}
}

// follow drops what lies past the start of the term and copies the leader's
// position.
func (t *fakeTarget) follow(op types.Operation) {
	t.term, t.primary, t.leader = op.Term, false, op.Leader.Name
	leader := t.harness.targets[op.Leader.Name]
	t.harness.Schedule(leader.lag, func() {
		if t.leader == leader.name && !t.harness.blocked[string(leader.name)] {
			t.pos = leader.pos
		}
	})
}

// roundTrip delivers an operation to a target and returns its result, or an
// error after the timeout.
func (h *harness) roundTrip(from string, name types.TargetName, op types.Operation, timeout time.Duration, reply func(types.Result, error)) {
	t := h.targets[name]
	if t == nil || t.down {
		h.Schedule(linkLatency, func() { reply(types.Result{}, errUnreachable) })
		return
	}
	answered := false
	h.Schedule(timeout, func() {
		if !answered {
			answered = true
			reply(types.Result{}, errUnreachable)
		}
	})
	h.send(from, string(name), func() {
		h.Schedule(max(0, t.frozenUntil.Sub(h.clock())), func() {
			if op.Kind == types.OpPromote && t.crashOnPromote {
				t.down = true
			}
			if t.down {
				return
			}
			result := t.execute(op)
			h.send(string(name), from, func() {
				if !answered {
					answered = true
					reply(result, nil)
				}
			})
		})
	})
}

func (h *harness) callTarget(p *process, e effect.CallTarget) {
	if h.promotionService != nil && e.Operation.Kind == types.OpPromote {
		h.promotionService.promote(p, e)
		return
	}
	h.roundTrip(string(p.id), e.Target.Name, e.Operation, e.Timeout, func(r types.Result, err error) {
		p.step(event.TargetReplied{Call: e.Call, Err: err, Result: r})
	})
}

func (h *harness) probe(p *process, e effect.Probe) {
	probedAt := h.clock()
	h.roundTrip(string(p.id), e.Ref.Name, types.Operation{Kind: types.OpPosition}, e.Timeout, func(r types.Result, err error) {
		p.step(event.Probed{Ref: e.Ref, ProbedAt: probedAt, Err: err, Status: r.Status})
	})
}
