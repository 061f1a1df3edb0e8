package promotion_test

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
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

// world drives control hosts and proxies by their effects. The control log is
// shared and commits at once.
type world struct {
	t       *testing.T
	now     types.Instant
	rng     *rand.Rand
	queue   eventQueue
	order   uint64
	log     []proto.Entry
	term    proto.ControlTerm
	leader  types.HostID
	hosts   map[types.HostID]*process
	proxies map[types.HostID]*process
	targets map[types.TargetName]*fakeTarget
	replies map[uint64]proto.OperatorReply
	decided []effect.Decide
	ms      types.Instant   // millisecond of the last event
	inMs    int             // events in it
	cut     map[string]bool // processes and targets that nobody reaches, and ways as from>to
}

// process is one reducer with its timers.
type process struct {
	world   *world
	id      types.HostID
	reducer *core.Reducer
	state   *cluster.State
	timers  map[event.TimerID]uint64
	view    *types.NodeView
	down    bool
	sawView bool // reports each view at once
	writing []types.ServiceName
	until   types.Instant // LeadsUntil when cut off from the others
}

// LeadsUntil makes a control process the leadership of its lease table.
func (p *process) LeadsUntil() types.Instant {
	switch {
	case p.until != 0:
		return p.until
	case p.world.leader == p.id:
		return p.world.now.Add(time.Second)
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
	w := &world{
		t: t, now: types.Instant(time.Second), rng: rand.New(rand.NewPCG(1, 2)),
		hosts: map[types.HostID]*process{}, proxies: map[types.HostID]*process{},
		targets: map[types.TargetName]*fakeTarget{}, replies: map[uint64]proto.OperatorReply{},
		cut: map[string]bool{},
	}
	for i := range hosts {
		w.addHost(types.HostID("c" + string(rune('1'+i))))
	}
	for i := range proxies {
		w.addProxy(types.HostID("p" + string(rune('1'+i))))
	}
	for i := range targets {
		w.addTarget(types.TargetName("t" + string(rune('1'+i))))
	}
	w.elect("c1")
	w.configure(targets)
	return w
}

func (w *world) addHost(id types.HostID) {
	p := &process{world: w, id: id, state: cluster.New(), timers: map[event.TimerID]uint64{}}
	leases := lease.NewTable(id, p.state, p)
	shares := limits.New(p.state, leases)
	leases.SetShares(shares)
	p.reducer = core.New(fakeLog{p}, p.state, leases, shares,
		membership.New(p.state), promotion.New(p.state, leases), operator.New(id, p.state, leases))
	w.hosts[id] = p
	p.step(event.Start{})
}

func (w *world) addProxy(id types.HostID) {
	p := &process{world: w, id: id, timers: map[event.TimerID]uint64{}, sawView: true}
	p.reducer = core.New(node.New(node.Options{Host: id, AvailabilityZone: "z", Shards: 1}))
	w.proxies[id] = p
	p.step(event.Start{})
}

func (w *world) configure(members int) {
	w.call(1, "c1", proto.OperatorRequest{Change: &proto.ChangeConfig{
		ID: "first", Config: &types.Config{Services: map[types.ServiceName]types.Service{
			service: {Name: service, Members: members, Slots: 3, Connections: 20},
		}},
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
	old.until = w.now.Add(300 * time.Millisecond)
	w.cut[string(old.id)] = true
	w.pass(300 * time.Millisecond)
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

// step gives a process an event and carries out the effects.
func (p *process) step(ev event.Event) {
	if p.down {
		return
	}
	in := event.Input{Now: p.world.now, Seed: p.world.rng.Uint64(), Event: ev}
	for _, eff := range p.reducer.Step(in) {
		p.execute(eff)
	}
}

func (p *process) execute(eff effect.Effect) {
	w := p.world
	switch e := eff.(type) {
	case effect.ArmTimer:
		assert.Assert(w.t, e.At > w.now, "timer %v armed at or before now", e.ID)
		w.order++
		mark := w.order
		p.timers[e.ID] = mark
		w.at(e.At, func() {
			if p.timers[e.ID] == mark {
				delete(p.timers, e.ID)
				p.step(event.TimerFired{ID: e.ID})
			}
		})
	case effect.StopTimer:
		delete(p.timers, e.ID)
	case effect.Decide:
		w.decided = append(w.decided, e)
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
		if p.sawView {
			w.at(w.now.Add(time.Millisecond), p.report)
		}
	}
}

// report is what the only shard of a proxy says of itself.
func (p *process) report() {
	p.step(event.ShardReported{Report: event.ShardReport{Seen: p.view.Cluster.Version, Writing: p.writing}})
}

func (w *world) requestLease(p *process, e effect.RequestLease) {
	to := e.To
	if to == "" {
		to = types.HostID("c" + string(rune('1'+w.rng.IntN(len(w.hosts)))))
	}
	w.send(string(p.id), string(to), func() { w.hosts[to].step(event.LeaseRequested{Request: e.Request}) })
}

// send delivers after a hop unless the way is cut.
func (w *world) send(from, to string, deliver func()) {
	if w.cut[from] || w.cut[to] || w.cut[from+">"+to] {
		return
	}
	w.at(w.now.Add(hop), func() {
		if !w.cut[to] {
			deliver()
		}
	})
}

// run passes time until ok holds, and reports how long that took.
func (w *world) run(bound time.Duration, ok func() bool) (time.Duration, bool) {
	began := w.now
	end := began.Add(bound)
	for !ok() {
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return bound, false
		}
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		w.checkSpin()
		next.do()
	}
	return w.now.Sub(began), true
}

// checkSpin fails the test when a millisecond holds more events than any use.
func (w *world) checkSpin() {
	ms := w.now / types.Instant(time.Millisecond)
	if ms != w.ms {
		w.ms, w.inMs = ms, 0
	}
	w.inMs++
	assert.Assert(w.t, w.inMs < 10_000, "the reducers spin at %d ms", ms)
}

func (w *world) pass(d time.Duration) { w.run(d, func() bool { return false }) }

func (w *world) group() *types.Group { return w.hosts[w.leader].state.Group(service) }

// serving reports whether every proxy that is up acts on a primary of at least
// the term and holds a lease.
func (w *world) serving(term types.Term) bool {
	for _, p := range w.proxies {
		if p.down {
			continue
		}
		g := p.view.Group(service)
		if g == nil || g.Term < term || g.Phase != types.GroupServing || !p.view.LeaseLive(w.now) {
			return false
		}
	}
	return true
}

var errUnreachable = errors.New("unreachable")

func (w *world) at(at types.Instant, do func()) {
	w.order++
	heap.Push(&w.queue, scheduled{at: at, order: w.order, do: do})
}

// scheduled is something that happens at an instant.
type scheduled struct {
	at    types.Instant
	order uint64
	do    func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
