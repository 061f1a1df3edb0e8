package session

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	svcName = types.ServiceName("ledger")
	ms      = types.Instant(time.Millisecond)
)

// harness steps a shard on a simulated clock and records its effects.
type harness struct {
	t       testing.TB
	shard   *Shard
	now     types.Instant
	view    *types.NodeView
	config  *types.Config
	version uint64
	lastSeq types.RequestSeq

	dials         []effect.DialTarget
	sends         []effect.SendTarget
	closed        map[types.ConnID]bool
	targetOf      map[types.ConnID]types.TargetName
	answers       []effect.AnswerCaller
	refusals      []effect.RefuseCaller
	endedSessions []effect.EndSession
	reports       []event.ShardReport
	observations  []effect.Observation
	retries       int
	decisions     []effect.Decide
	timers        map[event.TimerID]types.Instant
}

func newHarness(t testing.TB) *harness {
	h := &harness{
		t: t, shard: NewShard(Options{Host: "proxy-1"}), now: types.Instant(time.Second),
		closed: make(map[types.ConnID]bool), targetOf: make(map[types.ConnID]types.TargetName),
		timers: make(map[event.TimerID]types.Instant), config: testConfig(),
	}
	h.setView(func(v *types.NodeView, g *types.Group) {})
	return h
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

// setView applies a change to the view and publishes it. The first view is a
// healthy group in term 1 with primary a; later ones keep earlier changes.
func (h *harness) setView(change func(v *types.NodeView, g *types.Group)) {
	h.version++
	v := &types.NodeView{LeaseUntil: h.now.Add(time.Hour), Health: make(map[types.TargetRef]types.TargetHealth), Shares: make(map[types.TargetRef]types.Share)}
	g := &types.Group{Service: svcName, Term: 1, Phase: types.GroupServing, Primary: "a", History: types.TermHistory{{Term: 1}}}
	for _, name := range []types.TargetName{"a", "b", "c"} {
		g.Members = append(g.Members, types.Target{Name: name, Address: types.Address("10.0.0.1:" + string(name))})
		v.Health[ref(name)] = types.TargetHealth{Term: 1, Primary: name == "a", Pos: types.LogPos{Term: 1}, ProbedAt: h.now, LastContact: h.now, FreshAt: h.now}
		v.Shares[ref(name)] = types.Share{Connections: 4, Slots: 2}
	}
	if h.view != nil {
		old := h.view.Group(svcName)
		*g = *old
		g.Members = append([]types.Target(nil), old.Members...)
		v.LeaseUntil = h.view.LeaseUntil
		for r, health := range h.view.Health {
			v.Health[r] = health
			v.Shares[r] = h.view.Shares[r]
		}
	}
	change(v, g)
	v.Cluster = &types.ClusterView{Version: h.version, Config: h.config, Groups: map[types.ServiceName]*types.Group{svcName: g}}
	v.KeyHolders = organisation.KeyHolders(h.config)
	h.view = v
	h.step(event.ViewChanged{})
}

// probe publishes the result of a probe that was sent to a target just now.
func (h *harness) probe(name types.TargetName, pos types.LogPos) {
	h.setView(func(v *types.NodeView, g *types.Group) {
		health := v.Health[ref(name)]
		health.Pos, health.ProbedAt, health.LastContact, health.FreshAt = pos, h.now, h.now, h.now
		v.Health[ref(name)] = health
	})
}

func (h *harness) step(ev event.Event) {
	h.now++
	for _, eff := range h.shard.Step(event.Input{Now: h.now, Seed: uint64(h.now), View: h.view, Event: ev}) {
		h.record(eff)
	}
}

// record keeps an effect for the test to check.
func (h *harness) record(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		h.dials = append(h.dials, e)
		h.targetOf[e.Conn] = e.Ref.Name
	case effect.SendTarget:
		h.sends = append(h.sends, e)
	case effect.CloseConn:
		h.closed[e.Conn] = true
	case effect.AnswerCaller:
		h.answers = append(h.answers, e)
	case effect.RefuseCaller:
		h.refusals = append(h.refusals, e)
	case effect.EndSession:
		h.endedSessions = append(h.endedSessions, e)
	case effect.ReportShard:
		h.reports = append(h.reports, e.Report)
	case effect.Observe:
		h.observations = append(h.observations, e.Observation)
	case effect.Decide:
		h.decisions = append(h.decisions, e)
		if e.Kind == effect.DecideRetry {
			h.retries++
		}
	case effect.ArmTimer:
		assert.Assert(h.t, e.At > h.now, "timer %v armed for %d, which is not after %d", e.ID, e.At, h.now)
		h.timers[e.ID] = e.At
	case effect.StopTimer:
		delete(h.timers, e.ID)
	}
}

// advance moves the clock forward and fires the timers that become due, in order.
func (h *harness) advance(by time.Duration) {
	until := h.now.Add(by)
	for {
		var nextID event.TimerID
		var nextAt types.Instant
		for timer, at := range h.timers {
			if at <= until && (nextAt == 0 || at < nextAt || at == nextAt && (timer.Domain < nextID.Domain || timer.Domain == nextID.Domain && timer.Key < nextID.Key)) {
				nextID, nextAt = timer, at
			}
		}
		if nextAt == 0 {
			break
		}
		delete(h.timers, nextID)
		h.now = max(h.now, nextAt)
		h.step(event.TimerFired{ID: nextID})
	}
	h.now = max(h.now, until)
}

// connect completes the dials in progress.
func (h *harness) connect() {
	for len(h.dials) > 0 {
		e := h.dials[0]
		h.dials = h.dials[1:]
		if !h.closed[e.Conn] {
			h.step(event.TargetConnected{Conn: e.Conn})
		}
	}
}

func (h *harness) openSession(id types.SessionID) {
	h.step(event.SessionOpened{Session: id, Params: types.SessionParams{Service: svcName}})
}

// sendRequest sends a request and completes the dials that the shard starts for
// it.
func (h *harness) sendRequest(id types.SessionID, r types.Request) types.RequestSeq {
	h.lastSeq++
	r.Seq = h.lastSeq
	h.step(event.RequestArrived{Session: id, Request: r})
	h.connect()
	return r.Seq
}

func (h *harness) sendWrite(id types.SessionID) types.RequestSeq {
	return h.sendRequest(id, types.Request{Payload: "write"})
}

func (h *harness) sendRead(id types.SessionID) types.RequestSeq {
	return h.sendRequest(id, types.Request{Class: types.ClassRead, Payload: "read"})
}

// lastSent returns the exchange that was sent last and its target.
func (h *harness) lastSent() (effect.SendTarget, types.TargetName) {
	h.t.Helper()
	assert.Assert(h.t, len(h.sends) > 0, "no exchange was sent")
	e := h.sends[len(h.sends)-1]
	return e, h.targetOf[e.Conn]
}

// answer answers the exchange that was sent last. offset is the target's
// position in the group's term after it.
func (h *harness) answer(offset uint64, tx types.TxStatus) {
	h.t.Helper()
	e, name := h.lastSent()
	g := h.view.Group(svcName)
	h.answerWith(e, tx, types.TargetStatus{Term: g.Term, Primary: name == g.Primary, Pos: types.LogPos{Term: g.Term, Offset: offset}})
}

func (h *harness) answerWith(e effect.SendTarget, tx types.TxStatus, status types.TargetStatus) {
	results := make([]types.Result, len(e.Operations))
	for i, op := range e.Operations {
		results[i] = types.Result{Tx: tx}
		if op.Kind == types.OpCaller {
			results[i].Payload = fmt.Sprint("answer to ", op.Payload)
		}
		if op.Kind == types.OpPosition {
			results[i].Status = status
		}
	}
	h.step(answeredEvent(e, results))
}

// breakConn breaks the connection of the exchange that was sent last. sent says
// whether the exchange may have reached the target.
func (h *harness) breakConn(sent bool) {
	e, _ := h.lastSent()
	h.step(event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: sent, Err: errors.New("broken")})
}

// answered reports whether the request was answered.
func (h *harness) answered(seq types.RequestSeq) bool {
	for _, a := range h.answers {
		if a.Seq == seq {
			return true
		}
	}
	return false
}

// refusal returns the refusal of the request, or the zero value if it was not
// refused.
func (h *harness) refusal(seq types.RequestSeq) types.Refusal {
	for _, r := range h.refusals {
		if r.Seq == seq {
			return r.Refusal
		}
	}
	return types.Refusal{}
}

// lastReport returns the shard's last report to the control goroutine.
func (h *harness) lastReport() event.ShardReport { return h.reports[len(h.reports)-1] }

// pos returns a position in term 1.
func pos(offset uint64) types.LogPos { return types.LogPos{Term: 1, Offset: offset} }

var drainEvent = event.DrainBegan{}

func sessionOpened(id types.SessionID, p types.SessionParams) event.SessionOpened {
	return event.SessionOpened{Session: id, Params: p}
}

var errConnRefused = errors.New("connection refused")

// answeredEvent returns the answer to an exchange with the given results.
func answeredEvent(e effect.SendTarget, results []types.Result) event.TargetAnswered {
	return event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: true, Results: results, Latency: time.Millisecond}
}

// answeredAfter returns the answer to a write on the primary of term 1 with the
// given latency.
func answeredAfter(e effect.SendTarget, latency time.Duration) event.TargetAnswered {
	a := answeredEvent(e, []types.Result{{}, {Status: types.TargetStatus{Term: 1, Primary: true, Pos: pos(1)}}})
	a.Latency = latency
	return a
}
