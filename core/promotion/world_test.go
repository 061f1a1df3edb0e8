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
	hop     = 2 * time.Millisecond // one way between any two processes
	service = types.ServiceName("ledger")
)

// world drives control hosts and proxies in virtual time. The control log is
// shared and commits at once.
type world struct {
	*coretest.Cluster
	t       *testing.T
	log     []proto.Entry
	term    proto.ControlTerm
	leader  types.HostID
	hosts   map[types.HostID]*process
	proxies map[types.HostID]*process
	targets map[types.TargetName]*fakeTarget
	replies map[uint64]proto.OperatorReply
	ms      time.Duration   // millisecond of the last event
	inMs    int             // events in it
	outside *outsideService // promotes the targets of a managed service
	cut     map[string]bool // processes and targets that nobody reaches, and ways as from>to
}

// process is a control host or a proxy.
type process struct {
	world   *world
	id      types.HostID
	host    *coretest.Host
	reducer *core.Reducer
	state   *cluster.State
	view    *types.NodeView
	writing []types.ServiceName
	silent  func() map[types.ServiceName]types.Instant
	until   types.Instant // LeadsUntil when cut off from the others
}

// LeadsUntil makes a control process the leadership of its lease table.
func (p *process) LeadsUntil() types.Instant {
	switch {
	case p.until != 0:
		return p.until
	case p.world.leader == p.id:
		return p.world.clock().Add(time.Second)
	}
	return 0
}

// fakeLog is the part that stands in for consensus.
type fakeLog struct{ p *process }

func (f fakeLog) Step(in event.Input) []effect.Effect {
	e, ok := in.Event.(event.Proposed)
	if !ok || f.p.world.leader != f.p.id || f.p.world.cut[string(f.p.id)] {
		return nil
	}
	return f.p.world.commit(f.p, e.Command)
}

func newWorld(t *testing.T, hosts, proxies, targets int) *world {
	w := emptyWorld(t)
	w.fill(hosts, proxies, targets)
	w.configure(targets)
	return w
}

func emptyWorld(t *testing.T) *world {
	w := &world{
		t:     t,
		hosts: map[types.HostID]*process{}, proxies: map[types.HostID]*process{},
		targets: map[types.TargetName]*fakeTarget{}, replies: map[uint64]proto.OperatorReply{},
		cut: map[string]bool{},
	}
	w.Cluster = coretest.NewCluster(1, func(h *coretest.Host) coretest.Stepper { return w.process(h.ID) })
	w.Effect = func(h *coretest.Host, eff effect.Effect) { w.process(h.ID).execute(eff) }
	return w
}

// fill starts the processes and targets.
func (w *world) fill(hosts, proxies, targets int) {
	for i := range hosts {
		w.addHost(types.HostID(fmt.Sprint("c", i+1)))
	}
	for i := range proxies {
		w.addProxy(types.HostID(fmt.Sprint("p", i+1)))
	}
	for i := range targets {
		w.addTarget(types.TargetName(fmt.Sprint("t", i+1)))
	}
	w.elect("c1")
}

func (w *world) addHost(id types.HostID) {
	p := &process{world: w, id: id, state: cluster.New()}
	leases := lease.NewTable(id, p.state, p)
	shares := limits.New(p.state, leases)
	leases.SetShares(shares)
	p.reducer = core.New(fakeLog{p}, p.state, leases, shares,
		membership.New(p.state), promotion.New(p.state, leases), operator.New(id, p.state, leases))
	w.hosts[id] = p
	p.host = w.Start(id)
}

func (w *world) addProxy(id types.HostID) {
	p := &process{world: w, id: id}
	p.reducer = core.New(node.New(node.Options{Host: id, AvailabilityZone: "z", Shards: 1}))
	w.proxies[id] = p
	p.host = w.Start(id)
}

func (w *world) process(id types.HostID) *process {
	if p := w.hosts[id]; p != nil {
		return p
	}
	return w.proxies[id]
}

func (w *world) clock() types.Instant { return types.Instant(time.Second + w.Now()) }

func (w *world) configure(members int) {
	w.change(1, map[types.ServiceName]types.Service{
		service: {Name: service, Members: members, Slots: 3, Connections: 20},
	})
}

// change makes services the whole configuration.
func (w *world) change(n uint64, services map[types.ServiceName]types.Service) {
	w.call(n, w.leader, proto.OperatorRequest{Change: &proto.ChangeConfig{
		ID: types.ChangeID(fmt.Sprint(n)), Base: n - 1, Config: &types.Config{Services: services},
	}})
}

// elect makes a control host the leader, as consensus would.
func (w *world) elect(id types.HostID) {
	w.term++
	w.leader = id
	for _, p := range w.hosts {
		if w.cut[string(p.id)] {
			continue
		}
		w.catchUp(p)
		p.step(event.RoleChanged{Leading: p.id == id, Leader: id, Term: w.term})
	}
}

// cutLeader cuts the leader off without its noticing; another host is elected
// once the old one can't be sure of leading any more.
func (w *world) cutLeader(next types.HostID) {
	old := w.hosts[w.leader]
	old.until = w.clock().Add(300 * time.Millisecond)
	w.cut[string(old.id)] = true
	w.Run(300 * time.Millisecond)
	w.elect(next)
}

// commit appends a command, which the others hear of after a hop.
func (w *world) commit(p *process, c proto.Command) []effect.Effect {
	entry := proto.Entry{Index: uint64(len(w.log) + 1), Term: w.term, Command: c}
	w.log = append(w.log, entry)
	for _, other := range w.hosts {
		if other != p {
			w.send(string(p.id), string(other.id), func() { w.catchUp(other) })
		}
	}
	return []effect.Effect{effect.Commit{Entry: entry}}
}

// catchUp gives a control host the entries that it lacks.
func (w *world) catchUp(p *process) {
	for i := p.state.Applied(); i < uint64(len(w.log)); i++ {
		p.step(event.Committed{Entry: w.log[i]})
	}
}

func (w *world) call(n uint64, host types.HostID, r proto.OperatorRequest) {
	w.hosts[host].step(event.OperatorCalled{Call: n, Request: r})
}

// Step passes an event to the reducer. It fails the test when a millisecond
// holds more events than any use.
func (p *process) Step(in event.Input) []effect.Effect {
	w := p.world
	if ms := w.Now().Truncate(time.Millisecond); ms != w.ms {
		w.ms, w.inMs = ms, 0
	}
	w.inMs++
	assert.Assert(w.t, w.inMs < 10_000, "the reducers spin at %v", w.ms)
	return p.reducer.Step(in)
}

func (p *process) step(ev event.Event) { p.world.Step(p.host, ev) }

func (p *process) execute(eff effect.Effect) {
	w := p.world
	switch e := eff.(type) {
	case effect.ArmTimer:
		assert.Assert(w.t, e.At > w.clock(), "timer %v armed at or before now", e.ID)
	case effect.ReplyOperator:
		w.replies[e.Call] = e.Reply
	case effect.GrantLease:
		w.send(string(p.id), string(e.Grant.Proxy), func() {
			w.proxies[e.Grant.Proxy].step(event.LeaseGranted{From: p.id, Grant: e.Grant})
		})
	case effect.RequestLease:
		w.requestLease(p, e)
	case effect.CallTarget:
		w.callTarget(p, e)
	case effect.Probe:
		w.probe(p, e)
	case effect.PublishView:
		p.view = e.View
		w.Schedule(time.Millisecond, p.report)
	}
}

// report is what the only shard of a proxy says of itself.
func (p *process) report() {
	r := event.ShardReport{Seen: p.view.Cluster.Version, Writing: p.writing}
	if p.silent != nil {
		r.Silent = p.silent()
	}
	p.step(event.ShardReported{Report: r})
}

func (w *world) requestLease(p *process, e effect.RequestLease) {
	to := e.To
	if to == "" {
		to = types.HostID("c" + fmt.Sprint(1+w.Random()%uint64(len(w.hosts))))
	}
	w.send(string(p.id), string(to), func() { w.hosts[to].step(event.LeaseRequested{Request: e.Request}) })
}

// send delivers after a hop unless the way is cut.
func (w *world) send(from, to string, deliver func()) {
	if w.cut[from] || w.cut[to] || w.cut[from+">"+to] {
		return
	}
	w.Schedule(hop, func() {
		if !w.cut[to] {
			deliver()
		}
	})
}

// run passes time until ok holds, and reports how long that took.
func (w *world) run(bound time.Duration, ok func() bool) (time.Duration, bool) {
	began := w.Now()
	done := w.RunUntil(bound, ok)
	return w.Now() - began, done
}

func (w *world) group() *types.Group { return w.hosts[w.leader].state.Group(service) }

// serving reports whether every proxy that is up acts on a primary of at least
// the term and holds a lease.
func (w *world) serving(term types.Term) bool {
	for _, p := range w.proxies {
		g := p.view.Group(service)
		if g == nil || g.Term < term || g.Phase != types.GroupServing || !p.view.LeaseLive(w.clock()) {
			return false
		}
	}
	return true
}

var errUnreachable = errors.New("unreachable")
