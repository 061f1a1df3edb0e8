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
	// most is what a target may have to share at any time: its connections
	// without control's, the spare one and the probes of one proxy.
	most = connections - 3
)

var hostIDs = []types.HostID{"p1", "p2", "p3"}

var ref = types.TargetRef{Service: "a", Name: "t1"}

// machine is two control hosts and some proxies. Messages wait until an action
// delivers them, in any order, once or more.
type machine struct {
	now     time.Duration
	index   uint64
	state   *cluster.State
	hosts   map[types.HostID]*controller
	leader  types.HostID
	term    proto.ControlTerm
	proxies map[types.HostID]*proxy
	net     []message
}

// controller is the lease and share part of a control host.
type controller struct {
	table   *lease.Table
	divider *limits.Allocator
	until   types.Instant
}

func (c *controller) LeadsUntil() types.Instant { return c.until }

// proxy is a holder with a drifting clock, and what its shards do.
type proxy struct {
	holder *lease.Holder
	drift  float64
	timers map[event.TimerID]types.Instant
	acted  uint64 // version that the shards act on
	using  int    // connections that the shards hold
	wanted int
}

// message is a request to a control host or its grant.
type message struct {
	host    types.HostID
	proxy   types.HostID
	request *proto.LeaseRequest
	grant   *proto.LeaseGrant
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now: time.Second, state: cluster.New(),
		hosts: map[types.HostID]*controller{}, proxies: map[types.HostID]*proxy{},
	}
	for _, id := range []types.HostID{"c1", "c2"} {
		c := &controller{}
		c.table = lease.NewTable(id, m.state, c)
		c.divider = limits.New(m.state, c.table)
		c.table.SetShares(c.divider)
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

func (m *machine) startProxy(id types.HostID, drift float64) {
	p := &proxy{drift: drift, timers: map[event.TimerID]types.Instant{}, wanted: 1}
	p.holder = lease.NewHolder(id, "z", func(r *proto.LeaseRequest) {
		r.Seen = p.acted
		held := max(p.holder.Shares()[ref].Connections, p.using)
		r.Held = []proto.ShareHeld{{Ref: ref, Share: types.Share{Connections: held}, Wanted: p.wanted}}
	})
	m.proxies[id] = p
	m.stepProxy(id, event.Start{})
}

// clock returns the time of a proxy. Its clock drifts from the start on.
func (m *machine) clock(p *proxy) types.Instant {
	return types.Instant(time.Duration(float64(m.now)*(1+p.drift)) + time.Hour)
}

// commit applies a command on both control hosts and tells their tables.
func (m *machine) commit(c proto.Command) {
	m.index++
	ev := event.Committed{Entry: proto.Entry{Index: m.index, Command: c}}
	m.state.Step(event.Input{Event: ev})
	for _, id := range []types.HostID{"c1", "c2"} {
		m.stepHost(id, ev)
	}
}

// elect makes a host the leader. The other one hears of it later.
func (m *machine) elect(id types.HostID) {
	m.term++
	m.leader = id
	m.hosts[id].until = types.Instant(m.now + 600*time.Millisecond)
	m.hearRole(id)
}

func (m *machine) hearRole(id types.HostID) {
	m.stepHost(id, event.RoleChanged{Leading: id == m.leader, Leader: m.leader, Term: m.term})
}

func (m *machine) stepHost(id types.HostID, ev event.Event) {
	c := m.hosts[id]
	in := event.Input{Now: types.Instant(m.now), Event: ev}
	effects := append(c.table.Step(in), c.divider.Step(in)...)
	for _, eff := range effects {
		switch e := eff.(type) {
		case effect.Propose:
			if id == m.leader {
				m.commit(e.Command)
			}
		case effect.GrantLease:
			m.net = append(m.net, message{host: id, proxy: e.Grant.Proxy, grant: &e.Grant})
		}
	}
}

func (m *machine) stepProxy(id types.HostID, ev event.Event) {
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
			m.net = append(m.net, message{host: to, proxy: id, request: &e.Request})
		}
	}
}

// fire steps a proxy with its timers that are due.
func (m *machine) fire(id types.HostID) {
	p := m.proxies[id]
	for key := range uint64(3) {
		timer := event.TimerID{Domain: event.DomainLeaseHolder, Key: key}
		if at, ok := p.timers[timer]; ok && at <= m.clock(p) {
			delete(p.timers, timer)
			m.stepProxy(id, event.TimerFired{ID: timer})
		}
	}
	if !m.live(p) {
		p.using = 0
	}
}

func (m *machine) live(p *proxy) bool { return m.clock(p) < p.holder.Until() }

func (m *machine) deliver(msg message) {
	if msg.request != nil {
		m.stepHost(msg.host, event.LeaseRequested{Request: *msg.request})
		return
	}
	m.stepProxy(msg.proxy, event.LeaseGranted{From: msg.host, Grant: *msg.grant})
}

func drawProxy(t *rapid.T) types.HostID {
	return rapid.SampledFrom(hostIDs).Draw(t, "proxy")
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver": m.deliverSome,
		"flow":    m.flow,
		"change": func(*rapid.T) {
			g := m.state.Group("a")
			m.commit(proto.Command{BeginTerm: &proto.BeginTerm{Service: "a", Term: g.Term + 1}})
		},
		"act": func(t *rapid.T) {
			m.act(m.proxies[drawProxy(t)])
		},
		"want": func(t *rapid.T) {
			m.proxies[drawProxy(t)].wanted = rapid.IntRange(0, connections).Draw(t, "wanted")
		},
		"elect": func(t *rapid.T) {
			if types.Instant(m.now) >= m.hosts[m.leader].until {
				m.elect(rapid.SampledFrom([]types.HostID{"c1", "c2"}).Draw(t, "leader"))
			}
		},
		"hear role": func(t *rapid.T) {
			m.hearRole(rapid.SampledFrom([]types.HostID{"c1", "c2"}).Draw(t, "host"))
		},
		"restart": func(t *rapid.T) {
			id := drawProxy(t)
			m.startProxy(id, m.proxies[id].drift)
		},
		"": m.check,
	}
}

// deliverSome delivers any waiting message, loses it, or delivers it and keeps
// it for a second time.
func (m *machine) deliverSome(t *rapid.T) {
	if len(m.net) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.net)-1).Draw(t, "message")
	msg := m.net[at]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate != 0 {
		m.net = slices.Delete(m.net, at, at+1)
	}
	if fate != 1 {
		m.deliver(msg)
	}
}

// flow is the ordinary case for a while, except for one proxy whose messages
// stay on the way, one whose shards are slow, and a leader that may lose touch.
func (m *machine) flow(t *rapid.T) {
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	cut := drawNoneOr(t, "cut")
	slow := drawNoneOr(t, "slow")
	m.run(steps, cut, slow, rapid.IntRange(0, 3).Draw(t, "leads on") > 0)
}

// run passes steps of time.
func (m *machine) run(steps int, cut, slow types.HostID, leads bool) {
	for range steps {
		m.now += 25 * time.Millisecond
		if c := m.hosts[m.leader]; leads && types.Instant(m.now) < c.until {
			c.until = types.Instant(m.now + 600*time.Millisecond)
		}
		for _, id := range hostIDs {
			m.fire(id)
			if id != slow {
				m.act(m.proxies[id])
			}
		}
		m.deliverAll(cut)
	}
}

// act has the shards of a proxy act on its view and use its shares.
func (m *machine) act(p *proxy) {
	if p.holder.Cluster() == nil {
		return
	}
	p.acted = p.holder.Cluster().Version
	p.using = 0
	if m.live(p) {
		p.using = p.holder.Shares()[ref].Connections
	}
}

// deliverAll delivers what is on the way in order, except for one proxy.
func (m *machine) deliverAll(cut types.HostID) {
	waiting := m.net
	m.net = nil
	for _, msg := range waiting {
		if msg.proxy == cut {
			m.net = append(m.net, msg)
			continue
		}
		m.deliver(msg)
	}
}

func drawNoneOr(t *rapid.T, label string) types.HostID {
	return rapid.SampledFrom([]types.HostID{"", "", "p1", "p2", "p3"}).Draw(t, label)
}

// check is the oracle: what the leader takes as fenced is fenced, and the
// proxies never use more connections than there are.
func (m *machine) check(t *rapid.T) {
	c := m.hosts[m.leader]
	now := types.Instant(m.now)
	sum := 0
	for id, p := range m.proxies {
		if !m.live(p) {
			continue
		}
		sum += max(p.using, p.holder.Shares()[ref].Connections)
		if p.acted == 0 {
			continue // its shards have no view yet, and no lease to act by
		}
		if now < c.until && c.table.Fenced(p.acted+1, now) {
			t.Fatalf("version %d is taken as fenced, proxy %s acts on %d", p.acted+1, id, p.acted)
		}
	}
	assert.Assert(t, sum <= most, "the proxies use %d connections", sum)
}

func TestLeasesAndShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range 4 {
			t.Repeat(m.actions())
		}
		m.now += 600 * time.Millisecond
		m.elect("c1")
		m.hearRole("c2")
		m.run(200, "", "", true)
		for id, p := range m.proxies {
			assert.Assert(t, m.live(p), "proxy %s has no lease when all is well", id)
			assert.Assert(t, p.holder.Shares()[ref].Connections > 0, "proxy %s has no share", id)
			p.wanted = 0
		}
		m.proxies["p2"].wanted = connections
		m.run(100, "", "", true)
		assert.Equal(t, m.proxies["p2"].holder.Shares()[ref].Connections, 13, "idle shares did not move")
	})
}
