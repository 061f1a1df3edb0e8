package division_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/division"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	tick           = 10 * time.Millisecond
	window         = 5 * time.Second
	leaderLease    = 600 * time.Millisecond
	reportInterval = 20 * time.Millisecond
	patience       = time.Second     // for which an operation waits for a right
	longPatience   = 3 * time.Second // the same without a lease
)

// fleet simulates control hosts and proxies with callers of organisations, in virtual
// time. What callers see is recorded for an oracle that knows nothing of rights.
type fleet struct {
	now     time.Duration
	random  *rand.Rand
	index   uint64
	state   *cluster.State
	hosts   map[types.HostID]*controlHost
	leader  types.HostID // empty between two leaders
	term    proto.ControlTerm
	proxies []*proxy
	network []message

	latency      time.Duration
	lost, copied float64 // parts of the messages that are lost and that arrive twice
	late         time.Duration

	callers  func(p *proxy) []types.OrganisationName // operations that begin at a proxy in one tick
	admitted map[types.OrganisationName][]time.Duration
	refused  map[types.OrganisationName][]time.Duration
	requests int // lease requests
	named    int // organisations in them
}

type controlHost struct {
	table   *lease.Table
	divider *division.Divider
	until   types.Instant // end of its leader lease
}

func (c *controlHost) LeadsUntil() types.Instant { return c.until }

// proxy is a node with the admission of one shard.
type proxy struct {
	id        types.HostID
	number    int
	offset    time.Duration // of its clock
	drift     float64
	node      *node.Node
	timers    map[event.TimerID]types.Instant
	published *types.NodeView
	view      *types.NodeView // as the shard acts on it
	admission *quota.Admission
	waiting   []operation
	reported  time.Duration
	last      event.ShardReport // the last that was sent
	seed      uint64
	started   int // processes

	frozenUntil, downUntil, cutUntil time.Duration
	held                             []message // that arrive while it is frozen
}

// operation is an operation that waits for a right.
type operation struct {
	organisation types.OrganisationName
	until        time.Duration
}

// message is a lease request to a control host or a grant from one.
type message struct {
	at      time.Duration
	host    types.HostID
	proxy   int
	request *proto.LeaseRequest
	grant   *proto.LeaseGrant
}

func newFleet(proxies int, seed uint64, organisations ...types.Organisation) *fleet {
	f := &fleet{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), state: cluster.New(), latency: 8 * time.Millisecond,
		hosts: map[types.HostID]*controlHost{}, callers: func(*proxy) []types.OrganisationName { return nil },
		admitted: map[types.OrganisationName][]time.Duration{}, refused: map[types.OrganisationName][]time.Duration{},
	}
	for _, id := range []types.HostID{"c1", "c2"} {
		c := &controlHost{}
		c.table = lease.NewTable(id, f.state, c)
		c.divider = division.New(f.state, c.table)
		c.table.SetQuotas(c.divider)
		f.hosts[id] = c
	}
	f.configure(organisations...)
	f.elect("c1")
	for i := range proxies {
		p := &proxy{id: types.HostID('a' + rune(i)), number: i, offset: time.Duration(f.random.IntN(1000)) * time.Second}
		f.proxies = append(f.proxies, p)
		f.startProxy(p)
	}
	return f
}

// configure commits a configuration with the given organisations.
func (f *fleet) configure(organisations ...types.Organisation) {
	config := &types.Config{
		QuotaWindow: window, Organisations: map[types.OrganisationName]types.Organisation{},
		Services: map[types.ServiceName]types.Service{"a": {Name: "a", Managed: true, Connections: 50}},
	}
	for _, o := range organisations {
		config.Organisations[o.Name] = o
	}
	f.commit(proto.Command{Change: &proto.ChangeConfig{ID: types.ChangeID(strconv.FormatUint(f.index, 10)), Config: config, Base: f.configVersion()}})
}

func (f *fleet) configVersion() uint64 {
	if c := f.state.Config(); c != nil {
		return c.Version
	}
	return 0
}

func (f *fleet) commit(c proto.Command) {
	f.index++
	ev := event.Committed{Entry: proto.Entry{Index: f.index, Command: c}}
	f.state.Step(event.Input{Event: ev})
	for _, id := range []types.HostID{"c1", "c2"} {
		f.stepHost(id, ev)
	}
}

// elect makes a host the leader. The other one learns of it only if told.
func (f *fleet) elect(id types.HostID) {
	f.term++
	f.leader = id
	f.hosts[id].until = types.Instant(f.now + leaderLease)
	f.notifyRole(id)
}

func (f *fleet) notifyRole(id types.HostID) {
	f.stepHost(id, event.RoleChanged{Leading: id == f.leader, Leader: f.leader, Term: f.term})
}

func (f *fleet) stepHost(id types.HostID, ev event.Event) {
	c := f.hosts[id]
	in := event.Input{Now: types.Instant(f.now), Event: ev}
	for _, eff := range append(c.table.Step(in), c.divider.Step(in)...) {
		switch e := eff.(type) {
		case effect.Propose:
			if id == f.leader {
				f.commit(e.Command)
			}
		case effect.GrantLease:
			f.send(message{host: id, proxy: f.numberOf(e.Grant.Proxy), grant: &e.Grant})
		}
	}
}

func (f *fleet) numberOf(id types.HostID) int {
	return slices.IndexFunc(f.proxies, func(p *proxy) bool { return p.id.Name() == id.Name() })
}

// send puts a message on the network, which may lose, delay or repeat it.
func (f *fleet) send(m message) {
	for range 1 + f.chance(f.copied) {
		if f.chance(f.lost) == 1 {
			continue
		}
		m.at = f.now + f.latency
		if f.late > 0 {
			m.at += time.Duration(f.random.Int64N(int64(f.late)))
		}
		f.network = append(f.network, m)
	}
}

func (f *fleet) chance(part float64) int {
	if part > 0 && f.random.Float64() < part {
		return 1
	}
	return 0
}

// startProxy starts a new process of a proxy.
func (f *fleet) startProxy(p *proxy) {
	p.started++
	p.id = types.HostID(fmt.Sprintf("%s.%d", p.id.Name(), p.started))
	p.node = node.New(node.Options{Host: p.id, AvailabilityZone: "z", Shards: 1})
	p.timers = map[event.TimerID]types.Instant{}
	p.published, p.view, p.waiting, p.held = nil, nil, nil, nil
	p.admission = quota.NewAdmission(1, 0)
	p.last = event.ShardReport{}
	p.seed = f.random.Uint64()
	f.stepProxy(p, event.Start{})
}

func (f *fleet) clock(p *proxy) types.Instant {
	return types.Instant(time.Duration(float64(f.now)*(1+p.drift)) + p.offset)
}

func (f *fleet) stepProxy(p *proxy, ev event.Event) {
	for _, eff := range p.node.Step(event.Input{Now: f.clock(p), Seed: p.seed, Event: ev}) {
		switch e := eff.(type) {
		case effect.ArmTimer:
			p.timers[e.ID] = e.At
		case effect.StopTimer:
			delete(p.timers, e.ID)
		case effect.RequestLease:
			to := e.To
			if to == "" {
				to = []types.HostID{"c1", "c2"}[f.random.IntN(2)]
			}
			f.requests++
			f.named += len(e.Request.QuotaUses)
			if f.now >= p.cutUntil {
				f.send(message{host: to, proxy: p.number, request: &e.Request})
			}
		case effect.PublishView:
			p.published = e.View
		}
	}
}

// run advances the simulation.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tick
		if c := f.hosts[f.leader]; c != nil && types.Instant(f.now) < c.until {
			c.until = types.Instant(f.now + leaderLease)
		}
		f.deliver()
		for _, p := range f.proxies {
			f.tickProxy(p)
		}
	}
}

func (f *fleet) deliver() {
	waiting := f.network
	f.network = nil
	for _, m := range waiting {
		switch p := f.proxies[m.proxy]; {
		case m.at > f.now:
			f.network = append(f.network, m)
		case m.request != nil:
			f.stepHost(m.host, event.LeaseRequested{Request: *m.request})
		case p.node == nil || f.now < p.cutUntil:
		case f.now < p.frozenUntil:
			p.held = append(p.held, m)
		case m.grant.Proxy == p.id:
			f.stepProxy(p, event.LeaseGranted{From: m.host, Grant: *m.grant})
		}
	}
}

// tickProxy lets a proxy's callers begin operations, its shard act and its timers fire.
func (f *fleet) tickProxy(p *proxy) {
	if f.now < p.downUntil || f.now < p.frozenUntil {
		return
	}
	if p.node == nil {
		f.startProxy(p)
	}
	f.serveCallers(p) // a proxy that wakes up may act before it learns anything
	for _, m := range p.held {
		f.stepProxy(p, event.LeaseGranted{From: m.host, Grant: *m.grant})
	}
	p.held = nil
	f.fireTimers(p)
	p.view = p.published
	f.report(p)
}

func (f *fleet) fireTimers(p *proxy) {
	var due []event.TimerID
	for id, at := range p.timers {
		if at <= f.clock(p) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b event.TimerID) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Key, b.Key))
	})
	for _, id := range due {
		delete(p.timers, id)
		f.stepProxy(p, event.TimerFired{ID: id})
	}
}

// serveCallers admits operations, those that wait for a right first.
func (f *fleet) serveCallers(p *proxy) {
	arrived := f.callers(p)
	if p.view == nil {
		for _, name := range arrived {
			f.refused[name] = append(f.refused[name], f.now)
		}
		return
	}
	waiting := p.waiting
	p.waiting = nil
	for _, op := range waiting {
		f.decide(p, op)
	}
	for _, name := range arrived {
		until := f.now + patience
		if !p.view.LeaseLive(f.clock(p)) {
			until = f.now + longPatience
		}
		f.decide(p, operation{organisation: name, until: until})
	}
}

func (f *fleet) decide(p *proxy, op operation) {
	now := f.clock(p)
	switch verdict := p.admission.Admit(p.view, op.organisation, now); {
	case verdict == quota.Admitted:
		f.admitted[op.organisation] = append(f.admitted[op.organisation], f.now)
	case verdict == quota.Wait && f.now < op.until:
		p.waiting = append(p.waiting, op)
	default:
		p.admission.Refuse(op.organisation, now)
		f.refused[op.organisation] = append(f.refused[op.organisation], f.now)
	}
}

// report sends the shard's report if it has changed: at once while operations wait.
func (f *fleet) report(p *proxy) {
	counts := map[types.OrganisationName]int{}
	for _, op := range p.waiting {
		counts[op.organisation]++
	}
	if p.view == nil || len(counts) == 0 && f.now-p.reported < reportInterval {
		return
	}
	for name := range p.view.Cluster.Config.Organisations {
		p.admission.SetWaiting(name, counts[name])
	}
	r := event.ShardReport{AppliedVersion: p.view.Cluster.Version, QuotaUse: p.admission.Uses(f.clock(p))}
	if r.AppliedVersion == p.last.AppliedVersion && maps.Equal(r.QuotaUse, p.last.QuotaUse) {
		return
	}
	p.reported, p.last = f.now, r
	f.stepProxy(p, event.ShardReported{Report: r})
}

// kill ends the process of a proxy, which starts again after some time.
func (f *fleet) kill(p *proxy, down time.Duration) {
	p.node, p.view, p.waiting, p.held = nil, nil, nil, nil
	p.downUntil = f.now + down
}

// most returns the largest number of instants within any window.
func most(instants []time.Duration) int {
	largest, first := 0, 0
	for i, at := range instants {
		for at-instants[first] >= window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}
