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
	// inEffectBound is the maximum time from the acceptance of a change until every
	// proxy uses it or has no live lease.
	inEffectBound = lease.Duration + 500*time.Millisecond
	redirectDelay = 5 * time.Millisecond
	maxRedirects  = 3
)

// operators sends configuration changes to control hosts, and checks the answers and
// the configurations that proxies use.
type operators struct {
	sim       *simulation
	sent      []proto.ChangeConfig
	calls     map[uint64]operatorCall
	results   map[types.ChangeID]proto.ChangeResult
	accepted  map[uint64]types.ChangeID // by base version
	version   uint64                    // highest accepted version
	weights   map[uint64]int            // of the profiles, by configuration version
	published map[types.HostID]*types.ClusterView
}

// operatorCall is a call without an answer yet.
type operatorCall struct {
	change    proto.ChangeConfig
	redirects int
}

func newOperators(s *simulation) *operators {
	return &operators{
		sim: s, calls: make(map[uint64]operatorCall),
		results:  make(map[types.ChangeID]proto.ChangeResult),
		accepted: make(map[uint64]types.ChangeID), weights: make(map[uint64]int),
		published: make(map[types.HostID]*types.ClusterView),
	}
}

// change returns a change based on the highest accepted version. Changes differ in
// the weight of the profiles.
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

// send sends a change to a control host.
func (o *operators) send(to types.HostID, c operatorCall) {
	s := o.sim
	s.calls++
	o.calls[s.calls] = c
	s.cluster.Deliver(to, event.OperatorCalled{Call: s.calls, Request: proto.OperatorRequest{Change: &c.change}})
}

// handleReply checks an answer, and follows the redirect of a host that is not the
// leader.
func (o *operators) handleReply(from types.HostID, call uint64, r proto.OperatorReply) {
	o.sim.t.Helper()
	c, ok := o.calls[call]
	if !ok {
		return
	}
	delete(o.calls, call)
	if r.Err == proto.OpErrNotLeader {
		if r.Leader == from && !o.sim.elected[from] {
			o.sim.t.Fatalf("%s names itself as the leader although it was not elected", from)
		}
		if c.redirects++; r.Leader != "" && c.redirects <= maxRedirects {
			o.sim.cluster.Schedule(redirectDelay, func() { o.send(r.Leader, c) })
		}
	}
	if r.Change != nil {
		o.handleResult(c.change, *r.Change)
	}
}

// handleResult checks that a change always gets the same answer and that only one
// change is accepted on a base version.
func (o *operators) handleResult(c proto.ChangeConfig, r proto.ChangeResult) {
	o.sim.t.Helper()
	if old, ok := o.results[c.ID]; ok {
		if old != r {
			o.sim.t.Fatalf("%s got the result %+v and later %+v", c.ID, old, r)
		}
		return
	}
	o.results[c.ID] = r
	if !r.Accepted {
		if r.Version <= c.Base {
			o.sim.t.Fatalf("%s was refused at version %d, which is not newer than its base %d", c.ID, r.Version, c.Base)
		}
		o.version = max(o.version, r.Version)
		return
	}
	if other, ok := o.accepted[c.Base]; ok {
		o.sim.t.Fatalf("%s and %s were both accepted on base version %d", other, c.ID, c.Base)
	}
	o.accepted[c.Base] = c.ID
	o.version = max(o.version, r.Version)
	o.recordWeight(r.Version, c.Config.Profiles["strict"].Weight)
	o.sim.cluster.Schedule(inEffectBound, func() { o.checkInEffect(r.Version) })
}

// checkInEffect checks that every proxy uses a version or later, or has no live lease.
func (o *operators) checkInEffect(version uint64) {
	o.sim.t.Helper()
	for _, id := range o.sim.proxyIDs() {
		p, h := o.sim.proxies[id], o.sim.cluster.Hosts[id]
		if h.Stepper == nil || !p.view.LeaseLive(o.sim.cluster.LocalTime(h)) {
			continue
		}
		if have := p.view.Cluster.Config.Version; have < version {
			o.sim.t.Fatalf("%s uses configuration version %d, but version %d was accepted %v ago", id, have, version, inEffectBound)
		}
	}
}

// recordWeight checks that a version means the same configuration on every host.
func (o *operators) recordWeight(version uint64, weight int) {
	o.sim.t.Helper()
	if old, ok := o.weights[version]; ok && old != weight {
		o.sim.t.Fatalf("configuration version %d has the weights %d and %d", version, old, weight)
	}
	o.weights[version] = weight
}

// handlePublish checks that the view and configuration versions of a proxy never
// decrease, even across restarts.
func (o *operators) handlePublish(id types.HostID, e effect.PublishView) {
	o.sim.t.Helper()
	next, old := e.View.Cluster, o.published[id]
	if next == nil || next == old {
		return
	}
	if old != nil && (next.Version < old.Version || next.Config.Version < old.Config.Version) {
		o.sim.t.Fatalf("%s went back from view %d with configuration %d to view %d with configuration %d",
			id, old.Version, old.Config.Version, next.Version, next.Config.Version)
	}
	o.published[id] = next
	if p, ok := next.Config.Profiles["strict"]; ok {
		o.recordWeight(next.Config.Version, p.Weight)
	}
}

// unanswered returns the changes without a result.
func (o *operators) unanswered() []proto.ChangeConfig {
	var open []proto.ChangeConfig
	for _, c := range o.sent {
		if _, ok := o.results[c.ID]; !ok {
			open = append(open, c)
		}
	}
	return open
}

// checkConverged resends every change, and checks that each has its result and that
// all proxies use the last accepted version.
func (o *operators) checkConverged() {
	o.sim.t.Helper()
	for range int(recoveryBound / retryInterval) {
		if len(o.unanswered()) == 0 {
			break
		}
		for _, c := range o.unanswered() {
			o.send(o.sim.leader, operatorCall{change: c})
		}
		o.sim.cluster.Run(retryInterval)
	}
	if open := o.unanswered(); len(open) > 0 {
		o.sim.t.Fatalf("%s has no result within %v", open[0].ID, recoveryBound)
	}
	for _, c := range o.sent {
		o.send(o.sim.leader, operatorCall{change: c})
	}
	o.sim.cluster.Run(inEffectBound)
	for _, id := range o.sim.proxyIDs() {
		if have := o.sim.proxies[id].view.Cluster.Config.Version; have != o.version {
			o.sim.t.Fatalf("%s uses configuration version %d at the end, expected %d", id, have, o.version)
		}
	}
}

func (m *machine) control(t *rapid.T, label string) types.HostID {
	return rapid.SampledFrom(m.controls()).Draw(t, label)
}

// changeConfig sends a change to a random control host.
func (m *machine) changeConfig(t *rapid.T) {
	m.operators.send(m.control(t, "to"), operatorCall{change: m.operators.change(len(m.targets))})
}

// raceChanges sends two changes with the same base concurrently.
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

// TestMissedChanges lets a proxy and a control host miss 300 changes while they are
// down or isolated. Both must catch up.
func TestMissedChanges(t *testing.T) {
	const changes = 300
	for _, down := range []bool{true, false} {
		t.Run(fmt.Sprintf("down %v", down), func(t *testing.T) {
			m := &machine{simulation: newSimulation(t, 7, 3, 3, 3)}
			m.awaitServing()
			away := m.follower()
			for _, id := range []types.HostID{away, "proxy-3"} {
				m.cluster.Isolate(id)
				if down {
					m.stop(id)
				}
			}
			for range changes {
				m.operators.send(m.leader, operatorCall{change: m.operators.change(3)})
				m.cluster.Run(20 * time.Millisecond)
			}
			if want := uint64(changes + 1); m.operators.version != want {
				t.Fatalf("the last accepted version is %d, not %d", m.operators.version, want)
			}
			m.recover()
			m.cluster.Run(inEffectBound)
			m.operators.checkConverged()
			m.requireForQuorum(away)
			m.operators.checkConverged()
			m.checkAllServe()
		})
	}
}

// follower returns a control host that is not the leader.
func (s *simulation) follower() types.HostID {
	for _, id := range s.controls() {
		if id != s.leader {
			return id
		}
	}
	return ""
}

// requireForQuorum stops the leader, so that a change is accepted only if the given
// host votes and has caught up.
func (m *machine) requireForQuorum(id types.HostID) {
	m.t.Helper()
	if m.leader == id {
		m.t.Fatalf("%s is the leader, so that stopping the leader does not test it", id)
	}
	old := m.leader
	m.stop(old)
	if !m.cluster.RunUntil(recoveryBound, func() bool { return m.leader != old }) {
		m.t.Fatalf("no new leader after %s was stopped; %s missed changes before", old, id)
	}
	m.cluster.Run(inEffectBound)
	m.operators.send(m.leader, operatorCall{change: m.operators.change(3)})
	m.cluster.Run(inEffectBound)
}
