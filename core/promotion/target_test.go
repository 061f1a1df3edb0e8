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
	world   *world
	name    types.TargetName
	term    types.Term
	primary bool
	leader  types.TargetName
	pos     types.LogPos
	lag     time.Duration // until its followers hold a write
	down    bool
	frozen  types.Instant // answers nothing until then
	leaving bool
	refuse  bool // dies when asked to become primary
}

func (w *world) addTarget(name types.TargetName) {
	t := &fakeTarget{world: w, name: name, lag: 5 * time.Millisecond}
	w.targets[name] = t
	t.announce()
}

// announce tells one proxy about the target, again and again.
func (t *fakeTarget) announce() {
	w := t.world
	if !t.down && !w.cut[string(t.name)] {
		w.proxies["p1"].step(event.Announced{Announcement: proto.Announcement{
			Service: service, Name: t.name, Address: types.Address(t.name), Leaving: t.leaving,
		}})
	}
	w.Schedule(2*time.Second, t.announce)
}

// write appends to the log of a primary; its followers get it after the lag.
func (t *fakeTarget) write(n uint64) {
	t.pos = types.LogPos{Term: t.term, Offset: t.pos.Offset + n}
	pos, term := t.pos, t.term
	t.world.Schedule(t.lag, func() {
		for _, f := range t.world.targets {
			cut := t.world.cut[string(t.name)] || t.world.cut[string(f.name)]
			if f.leader == t.name && f.term == term && !cut && !f.down && f.pos.Compare(pos) < 0 {
				f.pos = pos
			}
		}
	})
}

func (t *fakeTarget) status() types.TargetStatus {
	return types.TargetStatus{Term: t.term, Primary: t.primary, Pos: t.pos}
}

func (t *fakeTarget) run(op types.Operation) types.Result {
	switch op.Kind {
	case types.OpPromote:
		if op.Term < t.term {
			return types.Result{Err: types.TargetErrStaleTerm}
		}
		t.term, t.primary, t.leader = op.Term, true, ""
	case types.OpFollow:
		if t.world.outside != nil {
			break // the outside service has them follow
		}
		if op.Term < t.term {
			return types.Result{Err: types.TargetErrStaleTerm}
		}
		t.follow(op)
	}
	return types.Result{Status: t.status()}
}

// follow drops what lies past the start of the term and copies the leader.
func (t *fakeTarget) follow(op types.Operation) {
	t.term, t.primary, t.leader = op.Term, false, op.Leader.Name
	leader := t.world.targets[op.Leader.Name]
	t.world.Schedule(leader.lag, func() {
		if t.leader == leader.name && !t.world.cut[string(leader.name)] {
			t.pos = leader.pos
		}
	})
}

// ask delivers an operation to a target and its result back, or an error after
// the timeout.
func (w *world) ask(from string, name types.TargetName, op types.Operation, timeout time.Duration, reply func(types.Result, error)) {
	t := w.targets[name]
	if t == nil || t.down {
		w.Schedule(hop, func() { reply(types.Result{}, errUnreachable) })
		return
	}
	answered := false
	w.Schedule(timeout, func() {
		if !answered {
			answered = true
			reply(types.Result{}, errUnreachable)
		}
	})
	w.send(from, string(name), func() {
		w.Schedule(max(0, t.frozen.Sub(w.clock())), func() {
			if op.Kind == types.OpPromote && t.refuse {
				t.down = true
			}
			if t.down {
				return
			}
			result := t.run(op)
			w.send(string(name), from, func() {
				if !answered {
					answered = true
					reply(result, nil)
				}
			})
		})
	})
}

func (w *world) callTarget(p *process, e effect.CallTarget) {
	if w.outside != nil && e.Operation.Kind == types.OpPromote {
		w.outside.promote(p, e)
		return
	}
	w.ask(string(p.id), e.Target.Name, e.Operation, e.Timeout, func(r types.Result, err error) {
		p.step(event.TargetReplied{Call: e.Call, Err: err, Result: r})
	})
}

func (w *world) probe(p *process, e effect.Probe) {
	asked := w.clock()
	w.ask(string(p.id), e.Ref.Name, types.Operation{Kind: types.OpPosition}, e.Timeout, func(r types.Result, err error) {
		p.step(event.Probed{Ref: e.Ref, AskedAt: asked, Err: err, Status: r.Status})
	})
}
