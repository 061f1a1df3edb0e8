// Package systemtest drives whole reducers together: control hosts, proxies
// with their shard, and a database group, over the virtual network of
// coretest. An oracle checks what callers see.
package systemtest

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/session"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	service     = types.ServiceName("stock")
	connections = 20
	connectCost = 12 * time.Millisecond
	announceGap = 500 * time.Millisecond
	pullGap     = 2 * time.Millisecond
	maxDrift    = 0.04 // of a clock, either way
)

// tester is the part of testing.T and rapid.T that a world needs.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world is a whole system in virtual time.
type world struct {
	t         tester
	cluster   *coretest.Cluster
	oracle    *oracle
	operators *operators
	proxies   map[types.HostID]*proxy
	targets   map[types.TargetName]*target
	conns     map[connKey]*conn
	leading   types.HostID          // control host that was last elected
	elected   map[types.HostID]bool // and has not stepped down
	terms     []effect.Decide
	calls     uint64
	drifts    float64       // largest drift of a clock
	spares    int           // control hosts added to the first ones
	healed    time.Duration // when the last cuts ended
	replies   map[uint64]proto.OperatorReply
	links     links
}

// proxy is a proxy with one shard. Both are hosts of the cluster.
type proxy struct {
	id   types.HostID
	run  int
	view *types.NodeView

	draining bool
	drift    float64 // of the clock that its loops share
}

func (p *proxy) shard() types.HostID { return p.id + "/shard" }

// connKey names a connection of one run of a proxy.
type connKey struct {
	proxy types.HostID
	run   int
	id    types.ConnID
}

// conn is a connection between a shard and a target.
type conn struct {
	target types.TargetName
	seq    uint64 // of the exchange under way
}

var errBroken = errors.New("connection broken")

// newWorld returns a configured system whose clocks run alike.
func newWorld(t tester, seed uint64, controls, proxies, targets int) *world {
	return newDriftingWorld(t, seed, 0, controls, proxies, targets)
}

// newDriftingWorld returns a configured system. The clock of each host runs
// faster or slower by up to drift, another one with each start.
func newDriftingWorld(t tester, seed uint64, drift float64, controls, proxies, targets int) *world {
	w := &world{
		t: t, drifts: drift, proxies: make(map[types.HostID]*proxy), targets: make(map[types.TargetName]*target),
		conns: make(map[connKey]*conn), replies: make(map[uint64]proto.OperatorReply),
		elected: make(map[types.HostID]bool),
	}
	w.oracle = newOracle(w)
	w.operators = newOperators(w)
	w.cluster = coretest.NewCluster(seed, w.build)
	w.cluster.Network.DelayMin, w.cluster.Network.DelayMax = time.Millisecond, 2*time.Millisecond
	w.cluster.Effect = w.execute
	w.addControls(controls)
	for i := range proxies {
		w.addProxy(types.HostID(fmt.Sprintf("proxy-%d", i+1)))
	}
	for i := range targets {
		w.addTarget(types.TargetName(fmt.Sprintf("target-%d", i+1)))
	}
	w.replicate()
	w.announce()
	w.configure(targets)
	return w
}

func (w *world) addControls(n int) {
	first := &proto.Snapshot{Index: 1, Term: 1}
	for i := range n {
		first.Voters = append(first.Voters, proto.Voter{Host: types.HostID(fmt.Sprintf("control-%d", i+1))})
	}
	for _, v := range first.Voters {
		w.cluster.Hosts[v.Host] = &coretest.Host{
			ID: v.Host, SyncTime: time.Millisecond,
			Disk: consensus.PersistentState{HardState: proto.HardState{Term: 1, Commit: 1}, Snapshot: first},
		}
	}
	for _, v := range first.Voters {
		w.cluster.Start(v.Host)
	}
}

func (w *world) addProxy(id types.HostID) {
	p := &proxy{id: id}
	w.proxies[id] = p
	w.startProxy(p)
	w.cluster.Hosts[p.shard()].View = func() *types.NodeView { return p.view }
}

func (w *world) startProxy(p *proxy) {
	p.run++
	p.view, p.draining, p.drift = nil, false, w.drift()
	w.cluster.Start(p.shard())
	w.cluster.Start(p.id)
}

func (w *world) addTarget(name types.TargetName) {
	t := &target{world: w, name: name, lag: usualLag, open: make(map[connKey]*txn)}
	w.targets[name] = t
	w.cluster.Start(t.host())
}

// drift draws how fast a clock runs.
func (w *world) drift() float64 {
	if w.drifts == 0 {
		return 0
	}
	return w.drifts * (float64(w.cluster.Random()%201)/100 - 1)
}

// build makes the reducer of a host.
func (w *world) build(h *coretest.Host) coretest.Stepper {
	if t, ok := w.targets[types.TargetName(h.ID)]; ok {
		clear(t.open)
		t.left = nil
		t.starts++
		return t
	}
	for _, p := range w.proxies {
		switch h.ID {
		case p.id:
			h.Drift = p.drift
			return core.NewProxy(node.Options{Host: p.id, AvailabilityZone: "z", Shards: 1})
		case p.shard():
			h.Drift = p.drift
			return core.NewShard(session.Options{Host: p.id, AvailabilityZone: "z"})
		}
	}
	h.Drift = w.drift()
	return core.NewControlHost(proto.Voter{Host: h.ID}, h.Disk, consensus.DefaultPolicy())
}

func (w *world) proxyOf(h *coretest.Host) *proxy {
	for _, p := range w.proxies {
		if h.ID == p.id || h.ID == p.shard() {
			return p
		}
	}
	return nil
}

// execute carries out the effects that coretest leaves to the world.
func (w *world) execute(h *coretest.Host, eff effect.Effect) {
	switch e := eff.(type) {
	case effect.GrantLease:
		w.grant(h.ID, e.Grant)
	case effect.RequestLease:
		w.requestLease(h, e)
	case effect.CallTarget:
		w.callTarget(h, e)
	case effect.Probe:
		w.probe(h, e)
	case effect.PublishView:
		p := w.proxyOf(h)
		p.view = e.View
		w.operators.published(p.id, e)
		w.cluster.Hand(p.shard(), event.ViewChanged{})
	case effect.ReportShard:
		w.cluster.Hand(w.proxyOf(h).id, event.ShardReported{Report: e.Report})
	case effect.ReplyOperator:
		w.replies[e.Call] = e.Reply
		w.operators.replied(h.ID, e.Call, e.Reply)
	case effect.Decide:
		w.decided(h, e)
	default:
		w.executeTraffic(h, eff)
	}
}

func (w *world) decided(h *coretest.Host, e effect.Decide) {
	switch e.Kind {
	case effect.DecideLeader:
		w.leading, w.elected[h.ID] = h.ID, true
	case effect.DecideStepDown:
		w.elected[h.ID] = false
	case effect.DecideTermBegun:
		w.terms = append(w.terms, e)
	}
}

func (w *world) executeTraffic(h *coretest.Host, eff effect.Effect) {
	p := w.proxyOf(h)
	switch e := eff.(type) {
	case effect.DialTarget:
		w.dial(p, e)
	case effect.SendTarget:
		w.send(p, e)
	case effect.CloseTarget:
		w.closeConn(connKey{p.id, p.run, e.Conn})
	case effect.AnswerCaller:
		w.oracle.answered(p, e)
	case effect.RefuseCaller:
		w.oracle.refused(p, e)
	case effect.EndSession:
		w.oracle.ended(p, e.Session, e.Refusal)
	}
}

func (w *world) controls() []types.HostID {
	var ids []types.HostID
	for _, id := range slices.Sorted(maps.Keys(w.cluster.Hosts)) {
		if w.proxyOf(w.cluster.Hosts[id]) == nil && w.targets[types.TargetName(id)] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *world) targetNames() []types.TargetName { return slices.Sorted(maps.Keys(w.targets)) }

func (w *world) proxyIDs() []types.HostID { return slices.Sorted(maps.Keys(w.proxies)) }

func (w *world) requestLease(h *coretest.Host, e effect.RequestLease) {
	to := e.To
	if to == "" {
		ids := w.controls()
		to = ids[w.cluster.Random()%uint64(len(ids))]
	}
	w.cluster.Message(h.ID, to, event.LeaseRequested{Request: e.Request})
}

// ask sends operations from a host to a target and the results back. fail runs
// when the target is down; a cut loses the question or the answer.
func (w *world) ask(from types.HostID, t *target, conn connKey, ops []types.Operation, done func([]types.Result), fail func()) {
	if w.cluster.Hosts[t.host()].Stepper == nil {
		w.cluster.Schedule(2*w.cluster.Delay(), fail)
		return
	}
	sent := w.cluster.Now()
	reply := func(results []types.Result) {
		if w.cluster.Connected(t.host(), from) {
			w.cluster.Schedule(w.cluster.Delay(), func() { done(results) })
		}
	}
	starts := t.starts
	w.cluster.Schedule(w.cluster.Delay(), func() {
		if conn != (connKey{}) && t.starts != starts {
			return
		}
		if w.cluster.Connected(from, t.host()) {
			w.cluster.Hand(t.host(), exchange{Event: event.Start{}, conn: conn, ops: ops, reply: reply, sent: sent})
		}
	})
}

// once returns a function that runs the first do that it is given.
func once() func(do func()) {
	ran := false
	return func(do func()) {
		if !ran {
			ran = true
			do()
		}
	}
}

func (w *world) probe(h *coretest.Host, e effect.Probe) {
	first, asked, run := once(), w.cluster.Local(h), w.proxies[h.ID].run
	finish := func(status types.TargetStatus, err error) {
		first(func() {
			if w.proxies[h.ID].run == run {
				w.cluster.Hand(h.ID, event.Probed{Ref: e.Ref, AskedAt: asked, Err: err, Status: status})
			}
		})
	}
	w.ask(h.ID, w.targets[e.Ref.Name], connKey{}, []types.Operation{{Kind: types.OpPosition}},
		func(r []types.Result) { finish(r[0].Status, nil) }, func() { finish(types.TargetStatus{}, errBroken) })
	w.cluster.Schedule(e.Timeout, func() { finish(types.TargetStatus{}, errBroken) })
}

func (w *world) callTarget(h *coretest.Host, e effect.CallTarget) {
	first := once()
	finish := func(r types.Result, err error) {
		first(func() { w.cluster.Hand(h.ID, event.TargetReplied{Call: e.Call, Err: err, Result: r}) })
	}
	w.ask(h.ID, w.targets[e.Target.Name], connKey{}, []types.Operation{e.Operation},
		func(r []types.Result) { finish(r[0], nil) }, func() { finish(types.Result{}, errBroken) })
	w.cluster.Schedule(e.Timeout, func() { finish(types.Result{}, errBroken) })
}
