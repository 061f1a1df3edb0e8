package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

const (
	// inForceBound is the longest time from the acceptance of a change until
	// every proxy acts on it or has no live lease.
	inForceBound = lease.Duration + 500*time.Millisecond
	redirectGap  = 5 * time.Millisecond
	maxRedirects = 3
)

// operators send changes to control hosts and check what they are told and
// what proxies act on.
type operators struct {
	world    *world
	sent     []proto.ChangeConfig
	calls    map[uint64]operatorCall
	results  map[types.ChangeID]proto.ChangeResult
	accepted map[uint64]types.ChangeID // by base
	version  uint64                    // highest accepted
	weights  map[uint64]int            // by version of the configuration
	shown    map[types.HostID]*types.ClusterView
}

// operatorCall is a call whose answer has not come.
type operatorCall struct {
	change    proto.ChangeConfig
	redirects int
}

func newOperators(w *world) *operators {
	return &operators{
		world: w, calls: make(map[uint64]operatorCall),
		results:  make(map[types.ChangeID]proto.ChangeResult),
		accepted: make(map[uint64]types.ChangeID), weights: make(map[uint64]int),
		shown: make(map[types.HostID]*types.ClusterView),
	}
}

// change returns a change of the highest accepted version. The weight of the
// profiles tells changes apart.
func (o *operators) change(members int) proto.ChangeConfig {
	n := len(o.sent) + 2
	config := testConfig(members)
	for name, p := range config.Profiles {
		p.Weight = n
		config.Profiles[name] = p
	}
	c := proto.ChangeConfig{ID: types.ChangeID(fmt.Sprintf("change-%d", n)), Base: o.version, Config: config}
	o.sent = append(o.sent, c)
	return c
}

// send gives a change to a control host.
func (o *operators) send(to types.HostID, c operatorCall) {
	w := o.world
	w.calls++
	o.calls[w.calls] = c
	w.cluster.Hand(to, event.OperatorCalled{Call: w.calls, Request: proto.OperatorRequest{Change: &c.change}})
}

// replied checks an answer, and asks the leader where a follower named one.
func (o *operators) replied(from types.HostID, call uint64, r proto.OperatorReply) {
	o.world.t.Helper()
	c, ok := o.calls[call]
	if !ok {
		return
	}
	delete(o.calls, call)
	if r.Err == proto.OpErrNotLeader {
		if r.Leader == from && !o.world.elected[from] {
			o.world.t.Fatalf("%s names itself although it was not elected", from)
		}
		if c.redirects++; r.Leader != "" && c.redirects <= maxRedirects {
			o.world.cluster.Schedule(redirectGap, func() { o.send(r.Leader, c) })
		}
	}
	if r.Change != nil {
		o.decided(c.change, *r.Change)
	}
}

// decided checks that a change gets one answer and a base one successor.
func (o *operators) decided(c proto.ChangeConfig, r proto.ChangeResult) {
	o.world.t.Helper()
	if old, ok := o.results[c.ID]; ok {
		if old != r {
			o.world.t.Fatalf("%s was answered %+v and later %+v", c.ID, old, r)
		}
		return
	}
	o.results[c.ID] = r
	if !r.Accepted {
		if r.Version <= c.Base {
			o.world.t.Fatalf("%s was refused at version %d, its base is %d", c.ID, r.Version, c.Base)
		}
		o.version = max(o.version, r.Version)
		return
	}
	if other, ok := o.accepted[c.Base]; ok {
		o.world.t.Fatalf("%s and %s were both accepted on base %d", other, c.ID, c.Base)
	}
	o.accepted[c.Base] = c.ID
	o.version = max(o.version, r.Version)
	o.show(r.Version, c.Config.Profiles["strict"].Weight)
	o.world.cluster.Schedule(inForceBound, func() { o.checkInForce(r.Version) })
}

// checkInForce checks that every proxy acts on a version or has no live lease.
func (o *operators) checkInForce(version uint64) {
	o.world.t.Helper()
	for _, id := range o.world.proxyIDs() {
		p, h := o.world.proxies[id], o.world.cluster.Hosts[id]
		if h.Stepper == nil || !p.view.LeaseLive(o.world.cluster.Local(h)) {
			continue
		}
		if have := p.view.Cluster.Config.Version; have < version {
			o.world.t.Fatalf("%s acts on configuration %d, %d was accepted %v ago", id, have, version, inForceBound)
		}
	}
}

// show checks that a version stands for one configuration everywhere.
func (o *operators) show(version uint64, weight int) {
	o.world.t.Helper()
	if old, ok := o.weights[version]; ok && old != weight {
		o.world.t.Fatalf("configuration %d has the weights %d and %d", version, old, weight)
	}
	o.weights[version] = weight
}

// published checks that what a proxy acts on never goes back, restarts
// included.
func (o *operators) published(id types.HostID, e effect.PublishView) {
	o.world.t.Helper()
	next, old := e.View.Cluster, o.shown[id]
	if next == nil || next == old {
		return
	}
	if old != nil && (next.Version < old.Version || next.Config.Version < old.Config.Version) {
		o.world.t.Fatalf("%s went from view %d with configuration %d back to view %d with %d",
			id, old.Version, old.Config.Version, next.Version, next.Config.Version)
	}
	o.shown[id] = next
	if p, ok := next.Config.Profiles["strict"]; ok {
		o.show(next.Config.Version, p.Weight)
	}
}

// open returns the changes without an answer.
func (o *operators) open() []proto.ChangeConfig {
	var open []proto.ChangeConfig
	for _, c := range o.sent {
		if _, ok := o.results[c.ID]; !ok {
			open = append(open, c)
		}
	}
	return open
}

// settled resends every change and checks that each has its answer and that
// all proxies act on the last one.
func (o *operators) settled() {
	o.world.t.Helper()
	for range int(settle / askGap) {
		if len(o.open()) == 0 {
			break
		}
		for _, c := range o.open() {
			o.send(o.world.leading, operatorCall{change: c})
		}
		o.world.cluster.Run(askGap)
	}
	if open := o.open(); len(open) > 0 {
		o.world.t.Fatalf("%s has no answer within %v", open[0].ID, settle)
	}
	for _, c := range o.sent {
		o.send(o.world.leading, operatorCall{change: c})
	}
	o.world.cluster.Run(inForceBound)
	for _, id := range o.world.proxyIDs() {
		if have := o.world.proxies[id].view.Cluster.Config.Version; have != o.version {
			o.world.t.Fatalf("%s acts on configuration %d in the end, not on %d", id, have, o.version)
		}
	}
}

func (m *machine) control(t *rapid.T, label string) types.HostID {
	return rapid.SampledFrom(m.controls()).Draw(t, label)
}

// changeConfig sends a change to any control host.
func (m *machine) changeConfig(t *rapid.T) {
	m.operators.send(m.control(t, "to"), operatorCall{change: m.operators.change(len(m.targets))})
}

// raceChanges lets two operators send changes of one base at a time.
func (m *machine) raceChanges(t *rapid.T) {
	first, second := m.operators.change(len(m.targets)), m.operators.change(len(m.targets))
	m.operators.send(m.control(t, "first"), operatorCall{change: first})
	m.operators.send(m.control(t, "second"), operatorCall{change: second})
}

// resendChange repeats a change, as if its answer had been lost.
func (m *machine) resendChange(t *rapid.T) {
	if len(m.operators.sent) > 0 {
		c := rapid.SampledFrom(m.operators.sent).Draw(t, "change")
		m.operators.send(m.control(t, "to"), operatorCall{change: c})
	}
}

// TestMissedChanges lets a proxy and a control host miss 300 changes, which
// they were down for or cut off from.
func TestMissedChanges(t *testing.T) {
	const changes = 300
	for _, down := range []bool{true, false} {
		t.Run(fmt.Sprintf("down %v", down), func(t *testing.T) {
			m := &machine{world: newWorld(t, 7, 3, 3, 3)}
			m.waitServing()
			away := m.follower()
			for _, id := range []types.HostID{away, "proxy-3"} {
				m.cluster.Isolate(id)
				if down {
					m.stop(id)
				}
			}
			for range changes {
				m.operators.send(m.leading, operatorCall{change: m.operators.change(3)})
				m.cluster.Run(20 * time.Millisecond)
			}
			if want := uint64(changes + 1); m.operators.version != want {
				t.Fatalf("the last accepted version is %d, not %d", m.operators.version, want)
			}
			m.recover()
			m.cluster.Run(inForceBound)
			m.operators.settled()
			m.loseQuorumWithout(away)
			m.operators.settled()
			m.checkAllServe()
		})
	}
}

// follower returns a control host that does not lead.
func (w *world) follower() types.HostID {
	for _, id := range w.controls() {
		if id != w.leading {
			return id
		}
	}
	return ""
}

// loseQuorumWithout stops the leader, so that no change is accepted unless a
// host takes part and has caught up.
func (m *machine) loseQuorumWithout(away types.HostID) {
	m.t.Helper()
	if m.leading == away {
		m.t.Fatalf("%s leads, so that stopping the leader shows nothing", away)
	}
	old := m.leading
	m.stop(old)
	if !m.cluster.RunUntil(settle, func() bool { return m.leading != old }) {
		m.t.Fatalf("no leader with %s in place of %s", away, old)
	}
	m.cluster.Run(inForceBound)
	m.operators.send(m.leading, operatorCall{change: m.operators.change(3)})
	m.cluster.Run(inForceBound)
}
