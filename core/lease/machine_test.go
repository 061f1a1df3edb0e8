package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/limits"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	connections = 20
	// maxConnections is the most that proxies may use of the target at any time: its
	// connections less the one of the control hosts, the one reserved for a joining
	// proxy and one for the probes of a proxy.
	maxConnections = connections - 3
	// leaderLease is the length of a leader lease.
	leaderLease = 600 * time.Millisecond
)

var hostIDs = []types.HostID{"p1", "p2", "p3"}

var ref = types.TargetRef{Service: "a", Name: "t1"}

// model simulates two control hosts and three proxies. Messages stay in the network
// until an action delivers them, in any order, once or several times.
type model struct {
	now     time.Duration
	index   uint64
	state   *cluster.State
	hosts   map[types.HostID]*controlHost
	leader  types.HostID
	term    proto.ControlTerm
	proxies map[types.HostID]*proxy
	network []message
}

// controlHost holds the lease table and the share allocator of a control host.
type controlHost struct {
	table     *lease.Table
	allocator *limits.Allocator
	until     types.Instant // end of its leader lease
}

func (c *controlHost) LeadsUntil() types.Instant { return c.until }

// proxy is a holder with a drifting clock and a model of its shards.
type proxy struct {
	holder         *lease.Holder
	drift          float64
	timers         map[event.TimerID]types.Instant
	appliedVersion uint64 // view version that the shards have applied
	inUse          int    // connections that the shards use
	demand         int
}

// message is a lease request to a control host or a grant from one.
type message struct {
	host    types.HostID
	proxy   types.HostID
	request *proto.LeaseRequest
	grant   *proto.LeaseGrant
}

func newModel(t *rapid.T) *model {
	m := &model{
		now: time.Second, state: cluster.New(),
		hosts: map[types.HostID]*controlHost{}, proxies: map[types.HostID]*proxy{},
	}
	for _, id := range []types.HostID{"c1", "c2"} {
		c := &controlHost{}
		c.table = lease.NewTable(id, m.state, c)
		c.allocator = limits.New(m.state, c.table)
		c.table.SetShares(c.allocator)
		m.hosts[id] = c
	}
	m.commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{"a": {Name: "a", Members: 1, Slots: 3, Connections: connections}},
	}}})
	m.commit(proto.Command{Member: &proto.SetMember{Service: "a", Target: types.Target{Name: "t1"}}})
	m.elect("c1")
	for _, id := range hostIDs {
		m.startProxy(id, float64(rapid.IntRange(-8, 8).Draw(t, "drift"))/100)
	}
	return m
}

func (m *model) startProxy(id types.HostID, drift float64) {
	p := &proxy{drift: drift, timers: map[event.TimerID]types.Instant{}, demand: 1}
	p.holder = lease.NewHolder(id, "z", func(r *proto.LeaseRequest) {
		r.AppliedVersion = p.appliedVersion
		held := max(p.holder.Shares()[ref].Connections, p.inUse)
		r.Held = []proto.ShareHeld{{Ref: ref, Share: types.Share{Connections: held}, Demand: p.demand}}
	})
	m.proxies[id] = p
	m.stepProxy(id, event.Start{})
}

// clock returns the time on a proxy's clock, which drifts from the start.
func (m *model) clock(p *proxy) types.Instant {
	return types.Instant(time.Duration(float64(m.now)*(1+p.drift)) + time.Hour)
}

// commit applies a command to the state and steps the tables of both control hosts.
func (m *model) commit(c proto.Command) {
	m.index++
	ev := event.Committed{Entry: proto.Entry{Index: m.index, Command: c}}
	m.state.Step(event.Input{Event: ev})
	for _, id := range []types.HostID{"c1", "c2"} {
		m.stepHost(id, ev)
	}
}

// elect makes a host the leader. The other host is notified by another action.
func (m *model) elect(id types.HostID) {
	m.term++
	m.leader = id
	m.hosts[id].until = types.Instant(m.now + leaderLease)
	m.notifyRole(id)
}

func (m *model) notifyRole(id types.HostID) {
	m.stepHost(id, event.RoleChanged{Leading: id == m.leader, Leader: m.leader, Term: m.term})
}

func (m *model) stepHost(id types.HostID, ev event.Event) {
	c := m.hosts[id]
	in := event.Input{Now: types.Instant(m.now), Event: ev}
	effects := append(c.table.Step(in), c.allocator.Step(in)...)
	for _, eff := range effects {
		switch e := eff.(type) {
		case effect.Propose:
			if id == m.leader {
				m.commit(e.Command)
			}
		case effect.GrantLease:
			m.network = append(m.network, message{host: id, proxy: e.Grant.Proxy, grant: &e.Grant})
		}
	}
}

func (m *model) stepProxy(id types.HostID, ev event.Event) {
	p := m.proxies[id]
	in := event.Input{Now: m.clock(p), Seed: uint64(m.now) * 7919, Event: ev}
	for _, eff := range p.holder.Step(in) {
		switch e := eff.(type) {
		case effect.ArmTimer:
			p.timers[e.ID] = e.At
		case effect.StopTimer:
			delete(p.timers, e.ID)
		case effect.RequestLease:
			to := e.To
			if to == "" {
				to = m.leader
			}
			m.network = append(m.network, message{host: to, proxy: id, request: &e.Request})
		}
	}
}

// fireTimers fires the due timers of a proxy. Its shards stop using connections once
// the lease has ended.
func (m *model) fireTimers(id types.HostID) {
	p := m.proxies[id]
	for key := range timerExpiry + 1 {
		timer := event.TimerID{Domain: event.DomainLeaseHolder, Key: key}
		if at, ok := p.timers[timer]; ok && at <= m.clock(p) {
			delete(p.timers, timer)
			m.stepProxy(id, event.TimerFired{ID: timer})
		}
	}
	if !m.leaseLive(p) {
		p.inUse = 0
	}
}

func (m *model) leaseLive(p *proxy) bool { return m.clock(p) < p.holder.Until() }

func (m *model) deliver(msg message) {
	if msg.request != nil {
		m.stepHost(msg.host, event.LeaseRequested{Request: *msg.request})
		return
	}
	m.stepProxy(msg.proxy, event.LeaseGranted{From: msg.host, Grant: *msg.grant})
}

func drawProxy(t *rapid.T) types.HostID {
	return rapid.SampledFrom(hostIDs).Draw(t, "proxy")
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver": m.deliverOne,
		"flow":    m.runNormally,
		"change": func(*rapid.T) {
			g := m.state.Group("a")
			m.commit(proto.Command{BeginTerm: &proto.BeginTerm{Service: "a", Term: g.Term + 1}})
		},
		"apply view": func(t *rapid.T) {
			m.applyView(m.proxies[drawProxy(t)])
		},
		"want": func(t *rapid.T) {
			m.proxies[drawProxy(t)].demand = rapid.IntRange(0, connections).Draw(t, "demand")
		},
		"elect": func(t *rapid.T) {
			if types.Instant(m.now) >= m.hosts[m.leader].until {
				m.elect(rapid.SampledFrom([]types.HostID{"c1", "c2"}).Draw(t, "leader"))
			}
		},
		"notify role": func(t *rapid.T) {
			m.notifyRole(rapid.SampledFrom([]types.HostID{"c1", "c2"}).Draw(t, "host"))
		},
		"restart": func(t *rapid.T) {
			id := drawProxy(t)
			m.startProxy(id, m.proxies[id].drift)
		},
		"": m.check,
	}
}

// deliverOne delivers one message, loses it, or delivers it and keeps it for another
// delivery.
func (m *model) deliverOne(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	msg := m.network[i]
	outcome := rapid.IntRange(0, 5).Draw(t, "outcome")
	if outcome != 0 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	if outcome != 1 {
		m.deliver(msg)
	}
}

// runNormally delivers messages in order for some time. One proxy may be isolated, the
// shards of one proxy may not apply new views, and the leader may be unable to renew
// its leader lease.
func (m *model) runNormally(t *rapid.T) {
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	isolated := drawOptionalProxy(t, "isolated")
	slow := drawOptionalProxy(t, "slow")
	m.advance(steps, isolated, slow, rapid.IntRange(0, 3).Draw(t, "keeps leading") > 0)
}

// advance runs steps of 25 ms, in which timers fire, shards apply new views and
// messages are delivered. A leader that keeps leading renews its leader lease.
func (m *model) advance(steps int, isolated, slow types.HostID, keepsLeading bool) {
	for range steps {
		m.now += 25 * time.Millisecond
		if c := m.hosts[m.leader]; keepsLeading && types.Instant(m.now) < c.until {
			c.until = types.Instant(m.now + leaderLease)
		}
		for _, id := range hostIDs {
			m.fireTimers(id)
			if id != slow {
				m.applyView(m.proxies[id])
			}
		}
		m.deliverAll(isolated)
	}
}

// applyView lets the shards of a proxy apply its view and use its shares.
func (m *model) applyView(p *proxy) {
	if p.holder.Cluster() == nil {
		return
	}
	p.appliedVersion = p.holder.Cluster().Version
	p.inUse = 0
	if m.leaseLive(p) {
		p.inUse = p.holder.Shares()[ref].Connections
	}
}

// deliverAll delivers the messages in order, except those of the isolated proxy.
func (m *model) deliverAll(isolated types.HostID) {
	waiting := m.network
	m.network = nil
	for _, msg := range waiting {
		if msg.proxy == isolated {
			m.network = append(m.network, msg)
			continue
		}
		m.deliver(msg)
	}
}

func drawOptionalProxy(t *rapid.T, label string) types.HostID {
	return rapid.SampledFrom([]types.HostID{"", "", "p1", "p2", "p3"}).Draw(t, label)
}

// check verifies that no proxy uses a version older than one that the leader reports
// as fenced, and that the proxies never use more than maxConnections.
func (m *model) check(t *rapid.T) {
	c := m.hosts[m.leader]
	now := types.Instant(m.now)
	sum := 0
	for id, p := range m.proxies {
		if !m.leaseLive(p) {
			continue
		}
		sum += max(p.inUse, p.holder.Shares()[ref].Connections)
		if p.appliedVersion == 0 {
			continue // its shards have not applied a view yet, and so don't serve
		}
		if now < c.until && c.table.Fenced(p.appliedVersion+1, now) {
			t.Fatalf("the leader reports version %d as fenced, but proxy %s still acts on version %d", p.appliedVersion+1, id, p.appliedVersion)
		}
	}
	assert.Assert(t, sum <= maxConnections, "the proxies use %d connections, more than %d", sum, maxConnections)
}

func TestLeasesAndShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 4 { // several, since the number of steps of one Repeat is a flag of rapid
			t.Repeat(m.actions())
		}
		m.now += leaderLease // the last leader lease has ended
		m.elect("c1")
		m.notifyRole("c2")
		m.advance(200, "", "", true)
		for id, p := range m.proxies {
			assert.Assert(t, m.leaseLive(p), "proxy %s has no lease although there are no faults", id)
			assert.Assert(t, p.holder.Shares()[ref].Connections > 0, "proxy %s has no share", id)
			p.demand = 0
		}
		m.proxies["p2"].demand = connections
		m.advance(100, "", "", true)
		// 2 connections are reserved, each of the three proxies has one for its probes,
		// and the two idle ones keep a share of one.
		const idleRest = connections - 2 - 3 - 2
		assert.Equal(t, m.proxies["p2"].holder.Shares()[ref].Connections, idleRest, "idle shares did not move")
	})
}
