package promotion_test

import (
	"cmp"
	"maps"
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
	address        types.Address // its name, if empty
	startedAt      int64         // start of its process, as announced; zero if it does not say
	deaf           bool          // receives no writes
	frozenUntil    types.Instant // answers nothing before this time
	leaving        bool
	crashOnPromote bool // crashes when asked to become primary

	room        int                      // connections that it accepts; zero means any number
	connections map[string]types.Instant // until when each process keeps its connection
	rejected    int                      // connections beyond room
}

// connectionIdle is how long a process keeps an idle connection to a target.
const connectionIdle = 300 * time.Millisecond

// accept opens or reuses the connection of a process, which stays open while it is in use
// and for keep after that. It reports whether there is room.
func (t *fakeTarget) accept(from string, timeout, keep time.Duration) bool {
	if t.room == 0 || t.down {
		return true
	}
	now := t.harness.clock()
	maps.DeleteFunc(t.connections, func(_ string, until types.Instant) bool { return until <= now })
	if _, ok := t.connections[from]; !ok && len(t.connections) >= t.room {
		t.rejected++
		return false
	}
	if t.connections == nil {
		t.connections = make(map[string]types.Instant)
	}
	t.connections[from] = now.Add(timeout)
	t.harness.Schedule(2*linkLatency+connectionSetup, func() { t.connections[from] = t.harness.clock().Add(keep) })
	return true
}

// connectionSetup is how long a target takes to accept a connection.
const connectionSetup = 12 * time.Millisecond

func (h *harness) addTarget(name types.TargetName) { h.addTargetAt(name, "") }

// addTargetAt adds a target with another address than its name.
func (h *harness) addTargetAt(name types.TargetName, address types.Address) *fakeTarget {
	t := &fakeTarget{harness: h, name: name, address: address, lag: 5 * time.Millisecond}
	h.targets[name] = t
	t.announce()
	return t
}

// restartWithoutLog starts a target again under its name.
func (t *fakeTarget) restartWithoutLog() {
	t.down, t.pos, t.startedAt = false, types.LogPos{}, t.startedAt+1
	t.sendAnnouncement()
}

// announce sends an announcement to one proxy every two seconds.
func (t *fakeTarget) announce() {
	h := t.harness
	if !t.down && !h.blocked[string(t.name)] {
		t.sendAnnouncement()
	}
	h.Schedule(2*time.Second, t.announce)
}

func (t *fakeTarget) sendAnnouncement() {
	t.harness.proxies["p1"].step(event.Announced{Announcement: proto.Announcement{
		Service: service, Name: t.name, Address: cmp.Or(t.address, types.Address(t.name)), Leaving: t.leaving, StartedAt: t.startedAt,
	}})
}

// write appends to the log of a primary. Its followers receive the write after
// the lag.
func (t *fakeTarget) write(n uint64) {
	t.pos = types.LogPos{Term: t.term, Offset: t.pos.Offset + n}
	pos, term := t.pos, t.term
	t.harness.Schedule(t.lag, func() {
		for _, f := range t.harness.targets {
			blocked := t.harness.blocked[string(t.name)] || t.harness.blocked[string(f.name)]
			if f.leader == t.name && f.term == term && !blocked && !f.down && !f.deaf && f.pos.Compare(pos) < 0 {
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
	reply := func(r types.Result, err error) { p.step(event.TargetReplied{Call: e.Call, Err: err, Result: r}) }
	if t := h.targets[e.Target.Name]; t != nil && !t.accept(string(p.id), e.Timeout, connectionIdle) {
		h.Schedule(2*linkLatency, func() { reply(types.Result{}, errTargetFull) })
		return
	}
	h.roundTrip(string(p.id), e.Target.Name, e.Operation, e.Timeout, reply)
}

func (h *harness) probe(p *process, e effect.Probe) {
	probedAt := h.clock()
	keep := connectionIdle
	if e.Close {
		keep = 0
	}
	if t := h.targets[e.Ref.Name]; t != nil && !t.accept(string(p.id), e.Timeout, keep) {
		h.Schedule(2*linkLatency, func() { p.step(event.Probed{Ref: e.Ref, ProbedAt: probedAt, Busy: true, Full: true}) })
		return
	}
	h.roundTrip(string(p.id), e.Ref.Name, types.Operation{Kind: types.OpPosition}, e.Timeout, func(r types.Result, err error) {
		p.step(event.Probed{Ref: e.Ref, ProbedAt: probedAt, Err: err, Status: r.Status})
	})
}
