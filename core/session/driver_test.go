package session

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	svcName = types.ServiceName("ledger")
	ms      = types.Instant(time.Millisecond)
)

// driver steps a shard and keeps the effects that tests look at.
type driver struct {
	t       testing.TB
	shard   *Shard
	now     types.Instant
	view    *types.NodeView
	config  *types.Config
	version uint64
	lastSeq types.RequestSeq

	dials   []effect.DialTarget
	sends   []effect.SendTarget
	closed  map[types.ConnID]bool
	refs    map[types.ConnID]types.TargetName
	answers []effect.AnswerCaller
	refused []effect.RefuseCaller
	ended   []effect.EndSession
	reports []event.ShardReport
	seen    []effect.Observation
	retried int
	decided []effect.Decide
	timers  map[event.TimerID]types.Instant
}

func newDriver(t testing.TB) *driver {
	d := &driver{
		t: t, shard: NewShard(Options{Host: "proxy-1"}), now: types.Instant(time.Second),
		closed: make(map[types.ConnID]bool), refs: make(map[types.ConnID]types.TargetName),
		timers: make(map[event.TimerID]types.Instant), config: testConfig(),
	}
	d.setView(func(v *types.NodeView, g *types.Group) {})
	return d
}

func testConfig() *types.Config {
	base := types.Profile{RequestTimeout: 500 * time.Millisecond, QueueTimeout: 200 * time.Millisecond, DrainTimeout: 100 * time.Millisecond, Weight: 1}
	profiles := make(map[types.ProfileName]types.Profile)
	add := func(name types.ProfileName, change func(*types.Profile)) {
		p := base
		p.Name = name
		change(&p)
		profiles[name] = p
	}
	add("session", func(p *types.Profile) { p.Freshness = types.FreshSession })
	add("strict", func(p *types.Profile) { p.Freshness = types.FreshPrimary })
	add("catalog", func(p *types.Profile) {
		p.Freshness, p.MaxAge, p.Idempotent = types.FreshAge, 100*time.Millisecond, types.IdempotentReads
	})
	add("fast", func(p *types.Profile) { p.Freshness, p.Durability = types.FreshSession, types.DurablePrimary })
	return &types.Config{
		Version: 1, Profiles: profiles,
		Services: map[types.ServiceName]types.Service{svcName: {
			Name: svcName, Members: 3, Slots: 3, Connections: 20,
			DefaultProfile: "session", Profiles: []types.ProfileName{"session", "strict", "catalog", "fast"},
		}},
	}
}

func ref(name types.TargetName) types.TargetRef {
	return types.TargetRef{Service: svcName, Name: name}
}

// setView publishes a new view. It starts as a healthy group in term 1 with
// primary a, and keeps what earlier calls changed.
func (d *driver) setView(change func(v *types.NodeView, g *types.Group)) {
	d.version++
	v := &types.NodeView{LeaseUntil: d.now.Add(time.Hour), Health: make(map[types.TargetRef]types.TargetHealth), Shares: make(map[types.TargetRef]types.Share)}
	g := &types.Group{Service: svcName, Term: 1, Phase: types.GroupServing, Primary: "a", History: types.TermHistory{{Term: 1}}}
	for _, n := range []types.TargetName{"a", "b", "c"} {
		g.Members = append(g.Members, types.Target{Name: n, Address: types.Address("10.0.0.1:" + string(n))})
		v.Health[ref(n)] = types.TargetHealth{Term: 1, Primary: n == "a", Pos: types.LogPos{Term: 1}, AskedAt: d.now, HeardAt: d.now, FreshAt: d.now}
		v.Shares[ref(n)] = types.Share{Connections: 4, Slots: 2}
	}
	if d.view != nil {
		old := d.view.Group(svcName)
		*g = *old
		g.Members = append([]types.Target(nil), old.Members...)
		v.LeaseUntil = d.view.LeaseUntil
		for r, h := range d.view.Health {
			v.Health[r] = h
			v.Shares[r] = d.view.Shares[r]
		}
	}
	change(v, g)
	v.Cluster = &types.ClusterView{Version: d.version, Config: d.config, Groups: map[types.ServiceName]*types.Group{svcName: g}}
	d.view = v
	d.step(event.ViewChanged{})
}

// probe publishes a probe's result for a target, asked now.
func (d *driver) probe(name types.TargetName, pos types.LogPos) {
	d.setView(func(v *types.NodeView, g *types.Group) {
		h := v.Health[ref(name)]
		h.Pos, h.AskedAt, h.HeardAt, h.FreshAt = pos, d.now, d.now, d.now
		v.Health[ref(name)] = h
	})
}

func (d *driver) step(ev event.Event) {
	d.now++
	for _, eff := range d.shard.Step(event.Input{Now: d.now, Seed: uint64(d.now), View: d.view, Event: ev}) {
		d.take(eff)
	}
}

func (d *driver) take(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		d.dials = append(d.dials, e)
		d.refs[e.Conn] = e.Ref.Name
	case effect.SendTarget:
		d.sends = append(d.sends, e)
	case effect.CloseTarget:
		d.closed[e.Conn] = true
	case effect.AnswerCaller:
		d.answers = append(d.answers, e)
	case effect.RefuseCaller:
		d.refused = append(d.refused, e)
	case effect.EndSession:
		d.ended = append(d.ended, e)
	case effect.ReportShard:
		d.reports = append(d.reports, e.Report)
	case effect.Observe:
		d.seen = append(d.seen, e.Observation)
	case effect.Decide:
		d.decided = append(d.decided, e)
		if e.Kind == effect.DecideRetry {
			d.retried++
		}
	case effect.ArmTimer:
		assert.Assert(d.t, e.At > d.now, "timer %v armed in the past", e.ID)
		d.timers[e.ID] = e.At
	case effect.StopTimer:
		delete(d.timers, e.ID)
	}
}

// advance moves the clock and fires the timers that come due, in order.
func (d *driver) advance(by time.Duration) {
	until := d.now.Add(by)
	for {
		var id event.TimerID
		var at types.Instant
		for t, when := range d.timers {
			if when <= until && (at == 0 || when < at || when == at && (t.Domain < id.Domain || t.Domain == id.Domain && t.Key < id.Key)) {
				id, at = t, when
			}
		}
		if at == 0 {
			break
		}
		delete(d.timers, id)
		d.now = max(d.now, at)
		d.step(event.TimerFired{ID: id})
	}
	d.now = max(d.now, until)
}

// connect answers the dials that are under way.
func (d *driver) connect() {
	for len(d.dials) > 0 {
		e := d.dials[0]
		d.dials = d.dials[1:]
		if !d.closed[e.Conn] {
			d.step(event.TargetConnected{Conn: e.Conn})
		}
	}
}

func (d *driver) open(id types.SessionID) {
	d.step(event.SessionOpened{Session: id, Params: types.SessionParams{Service: svcName}})
}

// ask sends a request and connects what the shard dials for it.
func (d *driver) ask(id types.SessionID, r types.Request) types.RequestSeq {
	d.lastSeq++
	r.Seq = d.lastSeq
	d.step(event.RequestArrived{Session: id, Request: r})
	d.connect()
	return r.Seq
}

func (d *driver) write(id types.SessionID) types.RequestSeq {
	return d.ask(id, types.Request{Payload: "write"})
}

func (d *driver) read(id types.SessionID) types.RequestSeq {
	return d.ask(id, types.Request{Class: types.ClassRead, Payload: "read"})
}

// sent returns the exchange that was sent last and its target.
func (d *driver) sent() (effect.SendTarget, types.TargetName) {
	d.t.Helper()
	assert.Assert(d.t, len(d.sends) > 0, "nothing was sent")
	e := d.sends[len(d.sends)-1]
	return e, d.refs[e.Conn]
}

// answer answers the exchange that was sent last: offset is the target's
// position afterwards in the group's term.
func (d *driver) answer(offset uint64, tx types.TxStatus) {
	d.t.Helper()
	e, name := d.sent()
	g := d.view.Group(svcName)
	d.answerAs(e, tx, types.TargetStatus{Term: g.Term, Primary: name == g.Primary, Pos: types.LogPos{Term: g.Term, Offset: offset}})
}

func (d *driver) answerAs(e effect.SendTarget, tx types.TxStatus, st types.TargetStatus) {
	results := make([]types.Result, len(e.Operations))
	for i, op := range e.Operations {
		results[i] = types.Result{Tx: tx}
		if op.Kind == types.OpCaller {
			results[i].Payload = fmt.Sprint("answer to ", op.Payload)
		}
		if op.Kind == types.OpPosition {
			results[i].Status = st
		}
	}
	d.step(answered(e, results))
}

// fail breaks the connection of the exchange that was sent last.
func (d *driver) fail(sent bool) {
	e, _ := d.sent()
	d.step(event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: sent, Err: errors.New("broken")})
}

// answered reports whether the request was answered.
func (d *driver) answered(seq types.RequestSeq) bool {
	for _, a := range d.answers {
		if a.Seq == seq {
			return true
		}
	}
	return false
}

// refusal returns the refusal of the request, or the zero one.
func (d *driver) refusal(seq types.RequestSeq) types.Refusal {
	for _, r := range d.refused {
		if r.Seq == seq {
			return r.Refusal
		}
	}
	return types.Refusal{}
}

// lastReport returns what control was told last.
func (d *driver) lastReport() event.ShardReport { return d.reports[len(d.reports)-1] }

// pos returns a position in term 1.
func pos(offset uint64) types.LogPos { return types.LogPos{Term: 1, Offset: offset} }

var drainEvent = event.DrainBegan{}

func openWith(id types.SessionID, p types.SessionParams) event.SessionOpened {
	return event.SessionOpened{Session: id, Params: p}
}

var errRefused = errors.New("connection refused")

func answered(e effect.SendTarget, results []types.Result) event.TargetAnswered {
	return event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: true, Results: results, Took: time.Millisecond}
}

// answeredIn answers a write on the primary of term 1 that took so long.
func answeredIn(e effect.SendTarget, took time.Duration) event.TargetAnswered {
	a := answered(e, []types.Result{{}, {Status: types.TargetStatus{Term: 1, Primary: true, Pos: pos(1)}}})
	a.Took = took
	return a
}
