package session

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

// TestShardsKeepTheirPromises drives two proxies, three targets and control
// through random steps and compares what callers see with the oracle.
func TestShardsKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { w.check() },
			"request":   w.request,
			"request2":  w.request,
			"roam":      w.roam,
			"connect":   w.connect,
			"exchange":  w.exchange,
			"exchange2": w.exchange,
			"break":     w.breakConn,
			"settle":    w.settle,
			"settle2":   w.settle,
			"settle3":   w.settle,
			"settle4":   w.settle,
			"request3":  w.request,
			"request4":  w.request,
			"late":      w.lateAnswer,
			"replicate": w.replicate,
			"probe":     w.probe,
			"probe2":    w.probe,
			"time":      w.pass,
			"renew":     func(t *rapid.T) { w.renew(pick(t, w.proxies)) },
			"begin":     w.beginTerm,
			"serve":     w.serveTerm,
			"follow":    w.followTerm,
			"leave":     w.leave,
			"wipe":      w.wipe,
		})
	})
}

func pick[T any](t *rapid.T, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, "of")]
}

// request sends the next request of a user, in a new session if it has none.
func (w *world) request(t *rapid.T) {
	u := pick(t, w.users)
	if u.pending != nil {
		return
	}
	if u.session == 0 {
		w.session++
		u.proxy, u.session = pick(t, w.proxies), w.session
		w.step(u.proxy, event.SessionOpened{Session: u.session, Params: types.SessionParams{Service: svcName}})
	}
	inTx := len(u.inTx) > 0
	q := &pending{
		stmt: w.statement(t, u), arrived: w.now, inTx: inTx,
		profile:  pick(t, w.config.Services[svcName].Profiles),
		required: slices.Clone(u.acked),
	}
	if q.profile != "catalog" {
		q.required = append(q.required, u.seen...)
	}
	r := types.Request{Profile: q.profile, ID: q.stmt.id, Payload: q.stmt}
	if q.stmt.kind == "read" {
		r.Class = types.ClassRead
	}
	u.seq++
	r.Seq, u.pending = u.seq, q
	w.step(u.proxy, event.RequestArrived{Session: u.session, Request: r})
}

func (w *world) statement(t *rapid.T, u *user) statement {
	kinds := []string{"write", "read", "charge", "begin"}
	if len(u.inTx) > 0 {
		kinds = []string{"write", "read", "commit"}
	}
	st := statement{kind: pick(t, kinds), tag: w.newTag()}
	switch st.kind {
	case "charge":
		st.kind = "write"
		st.id = types.RequestID(rapid.StringMatching("charge-[1-4]").Draw(t, "id"))
	}
	return st
}

// roam closes a user's session, whatever is under way.
func (w *world) roam(t *rapid.T) {
	u := pick(t, w.users)
	if u.session == 0 || rapid.IntRange(0, 4).Draw(t, "rarely") != 0 {
		return
	}
	id := u.session
	w.endSession(id)
	w.step(u.proxy, event.SessionClosed{Session: id})
}

func (w *world) connect(t *rapid.T) {
	p := pick(t, w.proxies)
	if len(p.dials) == 0 {
		p = w.proxies[1-p.index]
	}
	if len(p.dials) == 0 {
		return
	}
	w.connectOne(t, p)
}

func (w *world) connectOne(t *rapid.T, p *modelProxy) {
	conn := p.dials[0]
	p.dials = p.dials[1:]
	e := event.TargetConnected{Conn: conn}
	if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
		e.Err = errBroken
	}
	w.step(p, e)
}

// settle renews the leases, ends a change of primary and answers everything
// under way. Some replicas catch up, and some proxies hear of it.
func (w *world) settle(t *rapid.T) {
	for range 2 {
		w.serveTerm(t)
		for _, p := range w.proxies {
			w.renew(p)
		}
	}
	for _, m := range w.members {
		if w.group.Phase == types.GroupServing && m.term != w.group.Term && rapid.Bool().Draw(t, "follows") {
			m.follow(w.group.Term, w.member(w.group.Primary))
		}
	}
	for _, p := range w.proxies {
		for range len(p.dials) {
			w.connectOne(t, p)
		}
		for range len(p.sends) {
			w.exchange(t)
		}
	}
	for _, m := range w.members {
		if rapid.Bool().Draw(t, "catches up") {
			w.replicateOne(t, m)
		}
		for _, p := range w.proxies {
			if rapid.IntRange(0, 3).Draw(t, "heard") > 0 {
				w.probeOne(t, p, m)
			}
		}
	}
}

// takeSend takes out one exchange that is under way.
func (w *world) takeSend(t *rapid.T) (*modelProxy, effect.SendTarget, bool) {
	p := pick(t, w.proxies)
	if len(p.sends) == 0 {
		p = w.proxies[1-p.index]
	}
	if len(p.sends) == 0 {
		return nil, effect.SendTarget{}, false
	}
	i := rapid.IntRange(0, len(p.sends)-1).Draw(t, "exchange")
	e := p.sends[i]
	m, key := w.member(p.conns[e.Conn]), connKey{p.index, e.Conn}
	if slices.ContainsFunc(e.Operations, func(op types.Operation) bool {
		return op.Kind == types.OpClaim && m.claimed(op.RequestID, key)
	}) {
		return nil, effect.SendTarget{}, false // it waits for that claim
	}
	p.sends = slices.Delete(p.sends, i, i+1)
	return p, e, true
}

// run executes an exchange on its target.
func (w *world) run(p *modelProxy, e effect.SendTarget) event.TargetAnswered {
	m := w.member(p.conns[e.Conn])
	tx := m.tx(connKey{p.index, e.Conn})
	if tx.broken {
		return event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Err: errBroken}
	}
	owner := p.shard.conns[e.Conn].Owner
	if tx.open && tx.owner != owner {
		w.t.Fatalf("session %d runs in the transaction of session %d", owner, tx.owner)
	}
	tx.owner = owner
	ev := event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: true, Took: time.Millisecond}
	for _, op := range e.Operations {
		ev.Results = append(ev.Results, m.run(tx, op))
	}
	return ev
}

func (w *world) exchange(t *rapid.T) {
	p, e, ok := w.takeSend(t)
	if !ok {
		return
	}
	ev := w.run(p, e)
	p.answers = append(p.answers, ev)
	w.step(p, ev)
}

// breakConn breaks a connection before or after its exchange ran.
func (w *world) breakConn(t *rapid.T) {
	p, e, ok := w.takeSend(t)
	if !ok {
		return
	}
	ev := event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Err: errBroken}
	switch rapid.IntRange(0, 2).Draw(t, "when") {
	case 1:
		ev.Sent = true
	case 2:
		w.run(p, e)
		ev.Sent = true
	}
	w.step(p, ev)
}

// lateAnswer delivers an answer again.
func (w *world) lateAnswer(t *rapid.T) {
	p := pick(t, w.proxies)
	if len(p.answers) == 0 {
		return
	}
	w.step(p, pick(t, p.answers))
}

// replicate gives a replica some entries of the primary of its term.
func (w *world) replicate(t *rapid.T) { w.replicateOne(t, pick(t, w.members)) }

func (w *world) replicateOne(t *rapid.T, m *member) {
	i := slices.IndexFunc(w.members, func(o *member) bool { return o.primary && o.term == m.term })
	if i < 0 || m.primary {
		return
	}
	from := w.members[i]
	n := rapid.IntRange(len(m.log), len(from.log)).Draw(t, "upto")
	for n > len(m.log) && from.log[n-1].more {
		n-- // a commit is replicated as a whole
	}
	m.log = append(slices.Clone(m.log), from.log[len(m.log):n]...)
	if n == len(from.log) && from.name == w.group.Primary && from.term == w.group.Term {
		m.freshAt = w.now
	}
}

// probe brings a proxy the status of a target.
func (w *world) probe(t *rapid.T) { w.probeOne(t, pick(t, w.proxies), pick(t, w.members)) }

func (w *world) probeOne(t *rapid.T, p *modelProxy, m *member) {
	asked := w.now
	if rapid.IntRange(0, 3).Draw(t, "slow") == 0 {
		w.pass(t)
	}
	if m.wiped[p.index] {
		w.probeFailed(p, m)
		return
	}
	st := m.status()
	if m.name == w.group.Primary && m.term == w.group.Term {
		m.freshAt = w.now
	}
	v := w.nextView(p)
	v.Health[ref(m.name)] = types.TargetHealth{
		Term: st.Term, Primary: st.Primary, Pos: st.Pos, AskedAt: asked, HeardAt: w.now, FreshAt: min(m.freshAt, asked),
	}
	w.publish(p, v)
}

// wipe restarts a replica without its data. There is no promotion until it
// has caught up, since acknowledged writes may be on the primary alone.
func (w *world) wipe(t *rapid.T) {
	m := pick(t, w.members)
	if m.primary || w.wiped() || w.group.Phase != types.GroupServing || m.term != w.group.Term || rapid.IntRange(0, 3).Draw(t, "rarely") != 0 {
		return
	}
	m.log, m.freshAt = nil, 0
	m.breakConns()
	m.wiped = map[int]bool{0: true, 1: true}
	m.mustReach = len(w.member(w.group.Primary).log)
}

// wiped reports whether a member has not caught up since it was wiped.
func (w *world) wiped() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return len(m.log) < m.mustReach })
}

// probeFailed is the first probe after a restart: its connection is broken.
func (w *world) probeFailed(p *modelProxy, m *member) {
	delete(m.wiped, p.index)
	v := w.nextView(p)
	h := v.Health[ref(m.name)]
	h.Failing, h.FailedAt = true, w.now
	v.Health[ref(m.name)] = h
	w.publish(p, v)
}

// pass moves the clock and fires what comes due.
func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
	for _, p := range w.proxies {
		for _, id := range dueTimers(p, w.now) {
			delete(p.timers, id)
			w.step(p, event.TimerFired{ID: id})
		}
	}
}

func dueTimers(p *modelProxy, now types.Instant) []event.TimerID {
	var due []event.TimerID
	for id, at := range p.timers {
		if at <= now {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b event.TimerID) int {
		return int(a.Domain)*1000 + int(a.Key) - int(b.Domain)*1000 - int(b.Key)
	})
	return due
}

// beginTerm has control replace the primary.
func (w *world) beginTerm(t *rapid.T) {
	if w.group.Phase != types.GroupServing || w.wiped() || rapid.IntRange(0, 5).Draw(t, "rarely") != 0 {
		return
	}
	w.version++
	w.group.Term++
	w.group.Phase, w.group.Primary = types.GroupFencing, ""
}

// serveTerm promotes the member that is furthest among a majority, once every
// proxy has seen the term or lost its lease.
func (w *world) serveTerm(t *rapid.T) {
	if w.group.Phase != types.GroupFencing {
		return
	}
	for _, p := range w.proxies {
		if p.seen < w.version && p.view.LeaseLive(w.now) {
			return
		}
	}
	out := rapid.IntRange(0, 2).Draw(t, "unreachable")
	var best *member
	for i, m := range w.members {
		if i != out && (best == nil || m.pos().Compare(best.pos()) > 0) {
			best = m
		}
	}
	w.version++
	w.group.Phase, w.group.Primary = types.GroupServing, best.name
	w.group.History = w.group.History.Begin(types.TermStart{Term: w.group.Term, Offset: best.pos().Offset}, best.pos().Term)
	best.promote(w.group.Term)
}

// followTerm has a member follow the current primary.
func (w *world) followTerm(t *rapid.T) {
	m := pick(t, w.members)
	if w.group.Phase != types.GroupServing || m.term == w.group.Term {
		return
	}
	m.follow(w.group.Term, w.member(w.group.Primary))
}

// leave changes whether a target is to get work.
func (w *world) leave(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") != 0 {
		return
	}
	m := &w.group.Members[rapid.IntRange(0, 2).Draw(t, "member")]
	w.version++
	m.State = types.TargetActive
	if rapid.Bool().Draw(t, "leaves") {
		m.State = types.TargetLeaving
	}
}
