// Package systemtest simulates a complete system in virtual time: control hosts,
// proxies with one shard each, and a database group run their reducers over the
// network of coretest. An oracle checks what callers observe.
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
	service          = types.ServiceName("stock")
	connections      = 20 // that each target accepts
	connectDuration  = 12 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	pullInterval     = 2 * time.Millisecond
	maxDrift         = 0.04 // relative error of a clock in either direction
)

// tester is the common part of testing.T and rapid.T that a simulation uses.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation is a complete system in virtual time.
type simulation struct {
	t             tester
	cluster       *coretest.Cluster
	oracle        *oracle
	operators     *operators
	proxies       map[types.HostID]*proxy
	targets       map[types.TargetName]*target
	conns         map[connKey]*conn
	leader        types.HostID          // control host that was elected last
	elected       map[types.HostID]bool // control hosts that were elected and have not stepped down
	promotions    []effect.Decide
	calls         uint64
	clockDrift    float64       // maximum drift of each clock
	addedControls int           // control hosts added after the initial ones
	healedAt      time.Duration // when the cuts were last removed
	replies       map[uint64]proto.OperatorReply
	links         linkLimits
}

// proxy is a proxy with one shard. The control goroutine and the shard are separate
// hosts of the cluster.
type proxy struct {
	id          types.HostID
	incarnation int // counts starts and crashes
	view        *types.NodeView

	draining bool
	drift    float64 // of the clock that the control goroutine and the shard share
}

func (p *proxy) shard() types.HostID { return p.id + "/shard" }

// connKey identifies a connection of one incarnation of a proxy.
type connKey struct {
	proxy       types.HostID
	incarnation int
	id          types.ConnID
}

// conn is a connection between a shard and a target.
type conn struct {
	target types.TargetName
	seq    uint64 // of the exchange in flight, zero without one
}

var errConnBroken = errors.New("simulated connection failure")

// newSimulation returns a configured system whose clocks do not drift.
func newSimulation(t tester, seed uint64, controls, proxies, targets int) *simulation {
	return newDriftingSimulation(t, seed, 0, controls, proxies, targets)
}

// newDriftingSimulation returns a configured system. The clock of each host runs
// faster or slower by up to drift, which is drawn again at each start.
func newDriftingSimulation(t tester, seed uint64, drift float64, controls, proxies, targets int) *simulation {
	s := &simulation{
		t: t, clockDrift: drift, proxies: make(map[types.HostID]*proxy), targets: make(map[types.TargetName]*target),
		conns: make(map[connKey]*conn), replies: make(map[uint64]proto.OperatorReply),
		elected: make(map[types.HostID]bool),
	}
	s.oracle = newOracle(s)
	s.operators = newOperators(s)
	s.cluster = coretest.NewCluster(seed, s.build)
	s.cluster.Network.DelayMin, s.cluster.Network.DelayMax = time.Millisecond, 2*time.Millisecond
	s.cluster.Effect = s.execute
	s.addControls(controls)
	for i := range proxies {
		s.addProxy(types.HostID(fmt.Sprintf("proxy-%d", i+1)))
	}
	for i := range targets {
		s.addTarget(types.TargetName(fmt.Sprintf("target-%d", i+1)))
	}
	s.replicate()
	s.announce()
	s.configure(targets)
	return s
}

func (s *simulation) addControls(n int) {
	first := &proto.Snapshot{Index: 1, Term: 1}
	for i := range n {
		first.Voters = append(first.Voters, proto.Voter{Host: types.HostID(fmt.Sprintf("control-%d", i+1))})
	}
	for _, v := range first.Voters {
		s.cluster.Hosts[v.Host] = &coretest.Host{
			ID: v.Host, SyncTime: time.Millisecond,
			Disk: consensus.PersistentState{HardState: proto.HardState{Term: 1, Commit: 1}, Snapshot: first},
		}
	}
	for _, v := range first.Voters {
		s.cluster.Start(v.Host)
	}
}

func (s *simulation) addProxy(id types.HostID) {
	p := &proxy{id: id}
	s.proxies[id] = p
	s.startProxy(p)
	s.cluster.Hosts[p.shard()].View = func() *types.NodeView { return p.view }
}

func (s *simulation) startProxy(p *proxy) {
	p.incarnation++
	p.view, p.draining, p.drift = nil, false, s.randomDrift()
	s.cluster.Start(p.shard())
	s.cluster.Start(p.id)
}

func (s *simulation) addTarget(name types.TargetName) {
	t := &target{sim: s, name: name, lag: defaultLag, txns: make(map[connKey]*targetTxn)}
	s.targets[name] = t
	s.cluster.Start(t.host())
}

// randomDrift draws the drift of one clock.
func (s *simulation) randomDrift() float64 {
	if s.clockDrift == 0 {
		return 0
	}
	return s.clockDrift * (float64(s.cluster.Random()%201)/100 - 1)
}

// build returns the reducer of a control host, proxy or shard that starts, or the
// simulated target, without the state that it loses in a restart.
func (s *simulation) build(h *coretest.Host) coretest.Stepper {
	if t, ok := s.targets[types.TargetName(h.ID)]; ok {
		clear(t.txns)
		t.departure = nil
		t.starts++
		return t
	}
	for _, p := range s.proxies {
		switch h.ID {
		case p.id:
			h.Drift = p.drift
			return core.NewProxy(node.Options{Host: p.id, AvailabilityZone: "z", Shards: 1})
		case p.shard():
			h.Drift = p.drift
			return core.NewShard(session.Options{Host: p.id, AvailabilityZone: "z"})
		}
	}
	h.Drift = s.randomDrift()
	return core.NewControlHost(proto.Voter{Host: h.ID}, h.Disk, consensus.DefaultPolicy())
}

func (s *simulation) proxyOf(h *coretest.Host) *proxy {
	for _, p := range s.proxies {
		if h.ID == p.id || h.ID == p.shard() {
			return p
		}
	}
	return nil
}

// execute executes the effects that coretest does not execute itself.
func (s *simulation) execute(h *coretest.Host, eff effect.Effect) {
	switch e := eff.(type) {
	case effect.GrantLease:
		s.grant(h.ID, e.Grant)
	case effect.RequestLease:
		s.requestLease(h, e)
	case effect.CallTarget:
		s.callTarget(h, e)
	case effect.Probe:
		s.probe(h, e)
	case effect.PublishView:
		p := s.proxyOf(h)
		p.view = e.View
		s.operators.handlePublish(p.id, e)
		s.cluster.Deliver(p.shard(), event.ViewChanged{})
	case effect.ReportShard:
		s.cluster.Deliver(s.proxyOf(h).id, event.ShardReported{Report: e.Report})
	case effect.ReplyOperator:
		s.replies[e.Call] = e.Reply
		s.operators.handleReply(h.ID, e.Call, e.Reply)
	case effect.Decide:
		s.handleDecision(h, e)
	default:
		s.executeTraffic(h, eff)
	}
}

func (s *simulation) handleDecision(h *coretest.Host, e effect.Decide) {
	switch e.Kind {
	case effect.DecideLeader:
		s.leader, s.elected[h.ID] = h.ID, true
	case effect.DecideStepDown:
		s.elected[h.ID] = false
	case effect.DecideTermBegun:
		s.promotions = append(s.promotions, e)
	}
}

func (s *simulation) executeTraffic(h *coretest.Host, eff effect.Effect) {
	p := s.proxyOf(h)
	switch e := eff.(type) {
	case effect.DialTarget:
		s.dial(p, e)
	case effect.SendTarget:
		s.send(p, e)
	case effect.CloseConn:
		s.closeConn(connKey{p.id, p.incarnation, e.Conn})
	case effect.AnswerCaller:
		s.oracle.handleAnswer(p, e)
	case effect.RefuseCaller:
		s.oracle.handleRefusal(p, e)
	case effect.EndSession:
		s.oracle.handleSessionEnd(p, e.Session, e.Refusal)
	}
}

func (s *simulation) controls() []types.HostID {
	var ids []types.HostID
	for _, id := range slices.Sorted(maps.Keys(s.cluster.Hosts)) {
		if s.proxyOf(s.cluster.Hosts[id]) == nil && s.targets[types.TargetName(id)] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *simulation) targetNames() []types.TargetName { return slices.Sorted(maps.Keys(s.targets)) }

func (s *simulation) proxyIDs() []types.HostID { return slices.Sorted(maps.Keys(s.proxies)) }

func (s *simulation) requestLease(h *coretest.Host, e effect.RequestLease) {
	to := e.To
	if to == "" {
		ids := s.controls()
		to = ids[s.cluster.Random()%uint64(len(ids))]
	}
	s.cluster.Send(h.ID, to, event.LeaseRequested{Request: e.Request})
}

// callOperations sends operations from a host to a target and the results back.
// onFailure is called if the target is down. A cut drops the call or its results.
func (s *simulation) callOperations(from types.HostID, t *target, conn connKey, ops []types.Operation, onResult func([]types.Result), onFailure func()) {
	if s.cluster.Hosts[t.host()].Stepper == nil {
		s.cluster.Schedule(2*s.cluster.Delay(), onFailure)
		return
	}
	sentAt := s.cluster.Now()
	reply := func(results []types.Result) {
		if s.cluster.Connected(t.host(), from) {
			s.cluster.Schedule(s.cluster.Delay(), func() { onResult(results) })
		}
	}
	starts := t.starts
	s.cluster.Schedule(s.cluster.Delay(), func() {
		if conn != (connKey{}) && t.starts != starts {
			return
		}
		if s.cluster.Connected(from, t.host()) {
			s.cluster.Deliver(t.host(), exchange{Event: event.Start{}, conn: conn, ops: ops, reply: reply, sentAt: sentAt})
		}
	})
}

// onlyOnce returns a function that calls its argument on the first call only.
func onlyOnce() func(do func()) {
	ran := false
	return func(do func()) {
		if !ran {
			ran = true
			do()
		}
	}
}

func (s *simulation) probe(h *coretest.Host, e effect.Probe) {
	first, sentAt, incarnation := onlyOnce(), s.cluster.LocalTime(h), s.proxies[h.ID].incarnation
	finish := func(status types.TargetStatus, err error) {
		first(func() {
			if s.proxies[h.ID].incarnation == incarnation {
				s.cluster.Deliver(h.ID, event.Probed{Ref: e.Ref, ProbedAt: sentAt, Err: err, Status: status})
			}
		})
	}
	s.callOperations(h.ID, s.targets[e.Ref.Name], connKey{}, []types.Operation{{Kind: types.OpPosition}},
		func(r []types.Result) { finish(r[0].Status, nil) }, func() { finish(types.TargetStatus{}, errConnBroken) })
	s.cluster.Schedule(e.Timeout, func() { finish(types.TargetStatus{}, errConnBroken) })
}

func (s *simulation) callTarget(h *coretest.Host, e effect.CallTarget) {
	first := onlyOnce()
	finish := func(r types.Result, err error) {
		first(func() { s.cluster.Deliver(h.ID, event.TargetReplied{Call: e.Call, Err: err, Result: r}) })
	}
	s.callOperations(h.ID, s.targets[e.Target.Name], connKey{}, []types.Operation{e.Operation},
		func(r []types.Result) { finish(r[0], nil) }, func() { finish(types.Result{}, errConnBroken) })
	s.cluster.Schedule(e.Timeout, func() { finish(types.Result{}, errConnBroken) })
}
