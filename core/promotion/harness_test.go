package promotion_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/limits"
	"github.com/camphorpaddle/camphorpaddle/core/membership"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/operator"
	"github.com/camphorpaddle/camphorpaddle/core/promotion"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	linkLatency = 2 * time.Millisecond // one-way latency between any two processes
	service     = types.ServiceName("ledger")
	// connectedLeadership is how long a connected leader is still sure to lead at any
	// time, and partitionedLeadership how long one is that was just partitioned.
	connectedLeadership   = time.Second
	partitionedLeadership = 300 * time.Millisecond
)

// harness runs control hosts and proxies in virtual time. The control hosts
// share one control log, in which each command is committed at once.
type harness struct {
	*coretest.Cluster
	t                *testing.T
	log              []proto.Entry
	term             proto.ControlTerm
	leader           types.HostID
	hosts            map[types.HostID]*process
	proxies          map[types.HostID]*process
	targets          map[types.TargetName]*fakeTarget
	replies          map[uint64]proto.OperatorReply
	lastEventAt      time.Duration     // millisecond of the last event
	eventsInMs       int               // number of events in that millisecond
	promotionService *promotionService // promotes the targets of a managed service
	blocked          map[string]bool   // unreachable processes and targets, and blocked links as from>to
}

// process is a control host or a proxy.
type process struct {
	harness    *harness
	id         types.HostID
	host       *coretest.Host
	reducer    *core.Reducer
	state      *cluster.State
	view       *types.NodeView
	writing    []types.ServiceName                        // reported as having a write or a transaction on the primary
	suspects   []types.ServiceName                        // reported as having a primary that failed a request
	silent     func() map[types.ServiceName]types.Instant // if set, returns the reported silent primaries and since when
	leadsUntil types.Instant                              // end of the leadership of a partitioned leader; zero if not partitioned
}

// LeadsUntil lets a control process serve as lease.Leadership of its lease
// table.
func (p *process) LeadsUntil() types.Instant {
	switch {
	case p.leadsUntil != 0:
		return p.leadsUntil
	case p.harness.leader == p.id:
		return p.harness.clock().Add(connectedLeadership)
	}
	return 0
}

// fakeLog replaces consensus.
type fakeLog struct{ p *process }

func (f fakeLog) Step(in event.Input) []effect.Effect {
	e, ok := in.Event.(event.Proposed)
	if !ok || f.p.harness.leader != f.p.id || f.p.harness.blocked[string(f.p.id)] {
		return nil
	}
	return f.p.harness.commit(f.p, e.Command)
}

func newHarness(t *testing.T, hosts, proxies, targets int) *harness {
	h := emptyHarness(t)
	h.addProcesses(hosts, proxies, targets)
	h.configure(targets)
	return h
}

func emptyHarness(t *testing.T) *harness {
	h := &harness{
		t:     t,
		hosts: map[types.HostID]*process{}, proxies: map[types.HostID]*process{},
		targets: map[types.TargetName]*fakeTarget{}, replies: map[uint64]proto.OperatorReply{},
		blocked: map[string]bool{},
	}
	h.Cluster = coretest.NewCluster(1, func(host *coretest.Host) coretest.Stepper { return h.process(host.ID) })
	h.Effect = func(host *coretest.Host, eff effect.Effect) { h.process(host.ID).execute(eff) }
	return h
}

// addProcesses starts the processes and targets.
func (h *harness) addProcesses(hosts, proxies, targets int) {
	for i := range hosts {
		h.addHost(types.HostID(fmt.Sprint("c", i+1)))
	}
	for i := range proxies {
		h.addProxy(types.HostID(fmt.Sprint("p", i+1)))
	}
	for i := range targets {
		h.addTarget(types.TargetName(fmt.Sprint("t", i+1)))
	}
	h.elect("c1")
}

func (h *harness) addHost(id types.HostID) {
	p := &process{harness: h, id: id, state: cluster.New()}
	leases := lease.NewTable(id, p.state, p)
	shares := limits.New(p.state, leases)
	leases.SetShares(shares)
	promotions := promotion.New(p.state, leases)
	leases.SetSuspects(promotions)
	p.reducer = core.New(fakeLog{p}, p.state, leases, shares,
		membership.New(p.state), promotions, operator.New(id, p.state, leases))
	h.hosts[id] = p
	p.host = h.Start(id)
}

func (h *harness) addProxy(id types.HostID) {
	p := &process{harness: h, id: id}
	p.reducer = core.New(node.New(node.Options{Host: id, AvailabilityZone: "z", Shards: 1}))
	h.proxies[id] = p
	p.host = h.Start(id)
}

func (h *harness) process(id types.HostID) *process {
	if p := h.hosts[id]; p != nil {
		return p
	}
	return h.proxies[id]
}

func (h *harness) clock() types.Instant { return types.Instant(time.Second + h.Now()) }

func (h *harness) configure(members int) {
	h.change(1, map[types.ServiceName]types.Service{
		service: {Name: service, Members: members, Slots: 3, Connections: 20},
	})
}

// change orders configuration version n, which holds only the given services.
func (h *harness) change(n uint64, services map[types.ServiceName]types.Service) {
	h.call(n, h.leader, proto.OperatorRequest{Change: &proto.ChangeConfig{
		ID: types.ChangeID(fmt.Sprint(n)), Base: n - 1, Config: &types.Config{Services: services},
	}})
}

// elect makes a control host the leader, as consensus would.
func (h *harness) elect(id types.HostID) {
	h.term++
	h.leader = id
	for _, p := range h.hosts {
		if h.blocked[string(p.id)] {
			continue
		}
		h.catchUp(p)
		p.step(event.RoleChanged{Leading: p.id == id, Leader: id, Term: h.term})
	}
}

// partitionLeader cuts the leader off from the other processes without its
// knowledge. Another host is elected once the old leader can't be sure of its
// leadership any more.
func (h *harness) partitionLeader(next types.HostID) {
	old := h.hosts[h.leader]
	old.leadsUntil = h.clock().Add(partitionedLeadership)
	h.blocked[string(old.id)] = true
	h.Run(partitionedLeadership)
	h.elect(next)
}

// commit appends a command. The other control hosts receive it after
// linkLatency.
func (h *harness) commit(p *process, c proto.Command) []effect.Effect {
	entry := proto.Entry{Index: uint64(len(h.log) + 1), Term: h.term, Command: c}
	h.log = append(h.log, entry)
	for _, other := range h.hosts {
		if other != p {
			h.send(string(p.id), string(other.id), func() { h.catchUp(other) })
		}
	}
	return []effect.Effect{effect.Commit{Entry: entry}}
}

// catchUp applies the entries that a control host lacks.
func (h *harness) catchUp(p *process) {
	for i := p.state.Applied(); i < uint64(len(h.log)); i++ {
		p.step(event.Committed{Entry: h.log[i]})
	}
}

func (h *harness) call(n uint64, host types.HostID, r proto.OperatorRequest) {
	h.hosts[host].step(event.OperatorCalled{Call: n, Request: r})
}

// Step passes an event to the reducer. It fails the test if there are 10 000
// events within one millisecond, since the reducers then trigger each other in
// a loop.
func (p *process) Step(in event.Input) []effect.Effect {
	h := p.harness
	if ms := h.Now().Truncate(time.Millisecond); ms != h.lastEventAt {
		h.lastEventAt, h.eventsInMs = ms, 0
	}
	h.eventsInMs++
	assert.Assert(h.t, h.eventsInMs < 10_000, "the reducers trigger each other in a loop at %v", h.lastEventAt)
	return p.reducer.Step(in)
}

func (p *process) step(ev event.Event) { p.harness.Step(p.host, ev) }

func (p *process) execute(eff effect.Effect) {
	h := p.harness
	switch e := eff.(type) {
	case effect.ArmTimer:
		assert.Assert(h.t, e.At > h.clock(), "timer %v armed at or before now", e.ID)
	case effect.ReplyOperator:
		h.replies[e.Call] = e.Reply
	case effect.GrantLease:
		h.send(string(p.id), string(e.Grant.Proxy), func() {
			h.proxies[e.Grant.Proxy].step(event.LeaseGranted{From: p.id, Grant: e.Grant})
		})
	case effect.RequestLease:
		h.requestLease(p, e)
	case effect.CallTarget:
		h.callTarget(p, e)
	case effect.Probe:
		h.probe(p, e)
	case effect.PublishView:
		p.view = e.View
		h.Schedule(time.Millisecond, p.report)
	}
}

// report sends the report of a proxy's only shard.
func (p *process) report() {
	r := event.ShardReport{AppliedVersion: p.view.Cluster.Version, WritingServices: p.writing, SuspectServices: p.suspects}
	if p.silent != nil {
		r.SilentSince = p.silent()
	}
	p.step(event.ShardReported{Report: r})
}

func (h *harness) requestLease(p *process, e effect.RequestLease) {
	to := e.To
	if to == "" {
		to = types.HostID("c" + fmt.Sprint(1+h.Random()%uint64(len(h.hosts))))
	}
	h.send(string(p.id), string(to), func() { h.hosts[to].step(event.LeaseRequested{Request: e.Request}) })
}

// send delivers after linkLatency unless the link or one of its ends is
// blocked.
func (h *harness) send(from, to string, deliver func()) {
	if h.blocked[from] || h.blocked[to] || h.blocked[from+">"+to] {
		return
	}
	h.Schedule(linkLatency, func() {
		if !h.blocked[to] {
			deliver()
		}
	})
}

// runUntil advances time until ok holds, and returns how long that took.
func (h *harness) runUntil(bound time.Duration, ok func() bool) (time.Duration, bool) {
	startedAt := h.Now()
	done := h.RunUntil(bound, ok)
	return h.Now() - startedAt, done
}

func (h *harness) group() *types.Group { return h.hosts[h.leader].state.Group(service) }

// serving reports whether every proxy holds a lease and uses a primary of
// at least the given term.
func (h *harness) serving(term types.Term) bool {
	for _, p := range h.proxies {
		g := p.view.Group(service)
		if g == nil || g.Term < term || g.Phase != types.GroupServing || !p.view.LeaseLive(h.clock()) {
			return false
		}
	}
	return true
}

var (
	errUnreachable = errors.New("unreachable")
	errTargetFull  = errors.New("the target accepts no more connections")
)
