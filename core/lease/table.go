package lease

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Leadership tells how long this host surely leads.
type Leadership interface {
	LeadsUntil() types.Instant
}

// ShareSource says what a proxy may use of each target.
type ShareSource interface {
	Shares(proxy types.HostID) []proto.ShareGrant
}

// Table is the leases that this host granted as leader.
type Table struct {
	self   types.HostID
	state  *cluster.State
	lead   Leadership
	shares ShareSource

	now     types.Instant // of the event that is under way
	role    role.Role
	since   types.Instant // when this host became leader
	proxies map[types.HostID]*proxyLease
}

// proxyLease is what the leader knows of one proxy.
type proxyLease struct {
	request  proto.LeaseRequest
	heard    types.Instant // zero until it asked this leader
	until    types.Instant // the proxy may count on its lease until then
	seen     uint64        // largest version that it acts on
	sent     uint64        // version of the last view sent to it
	due      uint64        // version that it has to act on by dueAt
	dueAt    types.Instant
	waiting  bool // its request waits for the registration
	proposed bool // its registration is under way
	removing bool // its removal is under way
}

// NewTable returns an empty table.
func NewTable(self types.HostID, state *cluster.State, lead Leadership) *Table {
	return &Table{self: self, state: state, lead: lead, proxies: make(map[types.HostID]*proxyLease)}
}

// SetShares names the source of the shares that grants carry.
func (t *Table) SetShares(s ShareSource) { t.shares = s }

// Step grants leases.
func (t *Table) Step(in event.Input) []effect.Effect {
	t.now = in.Now
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return t.changeRole(e)
	case event.LeaseRequested:
		return t.request(e.Request)
	case event.Committed:
		if e.Entry.Command.Proxy != nil {
			return t.registered(*e.Entry.Command.Proxy)
		}
		return t.push()
	case event.TimerFired:
		if e.ID.Domain == event.DomainLeaseTable {
			return t.sweep()
		}
	}
	return nil
}

// changeRole begins with a table that knows no request. Each registered proxy
// may hold a lease of the leader before.
func (t *Table) changeRole(e event.RoleChanged) []effect.Effect {
	if !t.role.Update(e) {
		return nil
	}
	t.proxies = make(map[types.HostID]*proxyLease)
	if !e.Leading {
		return nil
	}
	t.since = t.now
	for _, p := range t.state.Proxies() {
		t.proxies[p.Host] = &proxyLease{until: t.now.Add(Duration + driftMargin)}
	}
	return []effect.Effect{t.armSweep()}
}

func (t *Table) request(r proto.LeaseRequest) []effect.Effect {
	if !t.SurelyLeads() {
		return t.refuse(r)
	}
	p := t.proxies[r.Proxy]
	if p == nil {
		if r.Draining {
			return nil
		}
		p = &proxyLease{}
		t.proxies[r.Proxy] = p
	}
	if p.heard != 0 && stale(r.Seq, p.request.Seq) {
		return nil
	}
	p.request, p.heard = r, t.now
	p.seen = max(p.seen, r.Seen)
	if reg, ok := t.state.Proxy(r.Proxy); !ok || reg.AvailabilityZone != r.AvailabilityZone {
		return t.register(p)
	}
	return t.grant(p)
}

// staleWindow bounds how far behind the requests of one process can come. The
// numbers of another process begin at random.
const staleWindow = 1 << 20

// stale reports whether seq is at or shortly before last.
func stale(seq, last uint64) bool { return last-seq < staleWindow }

// SurelyLeads reports whether this host leads and no other can have been elected
// by the event that is under way.
func (t *Table) SurelyLeads() bool { return t.role.Leading && t.now < t.lead.LeadsUntil() }

func (t *Table) refuse(r proto.LeaseRequest) []effect.Effect {
	g := proto.LeaseGrant{
		Proxy: r.Proxy, Seq: r.Seq, SentAt: r.SentAt, Term: t.role.Term, NotLeader: true,
		Hosts: proto.Addresses(t.state.Voters()),
	}
	if t.role.Leader != t.self {
		g.Leader = t.role.Leader
	}
	if t.state.Config().AllManaged() {
		// What this host knows is committed, if not the latest. A proxy may work
		// with it where that needs no lease.
		g.View = t.state.Part(r.Have, r.At)
	}
	return []effect.Effect{effect.GrantLease{Grant: g}}
}

// register proposes to record a proxy; its request is answered after that.
func (t *Table) register(p *proxyLease) []effect.Effect {
	p.waiting = true
	if p.proposed {
		return nil
	}
	p.proposed = true
	return []effect.Effect{effect.Propose{Command: proto.Command{Proxy: &proto.SetProxy{
		Host: p.request.Proxy, AvailabilityZone: p.request.AvailabilityZone,
	}}}}
}

func (t *Table) registered(c proto.SetProxy) []effect.Effect {
	p := t.proxies[c.Host]
	switch {
	case !t.role.Leading || p == nil:
		return nil
	case c.Remove:
		delete(t.proxies, c.Host)
		return nil
	}
	p.proposed = false
	if !p.waiting || !t.SurelyLeads() {
		return nil
	}
	p.waiting = false
	return t.grant(p)
}

// grant answers the last request of a proxy. A proxy that stops, or lacks further
// parts of the view, gets no more time, and none is given while its removal is
// under way.
func (t *Table) grant(p *proxyLease) []effect.Effect {
	if p.removing {
		return nil
	}
	g := proto.LeaseGrant{
		Proxy: p.request.Proxy, Seq: p.request.Seq, SentAt: p.request.SentAt,
		Term: t.role.Term, View: t.state.Part(p.request.Have, p.request.At), Hosts: proto.Addresses(t.state.Voters()),
	}
	whole := g.View == nil || !g.View.More
	p.sent = p.request.Have
	if whole {
		p.sent = t.state.View().Version
	}
	if whole && !p.request.Draining && t.keepsUp(p) {
		g.Duration = Duration
		p.until = t.now.Add(Duration + driftMargin)
	}
	if t.shares != nil {
		g.Shares = t.shares.Shares(p.request.Proxy)
	}
	return []effect.Effect{effect.GrantLease{Grant: g}}
}

// keepsUp reports whether the shards of a proxy act on new views in time. One
// that hangs would hold up every promotion.
func (t *Table) keepsUp(p *proxyLease) bool {
	if p.seen >= p.due {
		p.due = t.state.View().Version
		p.dueAt = t.now.Add(seenBound)
	}
	return p.seen >= p.due || t.now < p.dueAt
}

// push sends a new view to the proxies that hold a lease, as a further answer
// to their last request. It brings no time and no shares. A view of several parts
// waits for their requests, one for each part.
func (t *Table) push() []effect.Effect {
	if !t.SurelyLeads() {
		return nil
	}
	version := t.state.View().Version
	var out []effect.Effect
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p == nil || p.heard == 0 || t.now >= p.until || p.sent >= version {
			continue
		}
		update := t.state.Part(p.sent, proto.ViewCursor{})
		if update.More {
			continue
		}
		out = append(out, effect.GrantLease{Grant: proto.LeaseGrant{
			Proxy: reg.Host, Seq: p.request.Seq, SentAt: p.request.SentAt, Term: t.role.Term, View: update,
		}})
		p.sent = version
	}
	return out
}

func (t *Table) armSweep() effect.Effect {
	return effect.ArmTimer{
		ID: event.TimerID{Domain: event.DomainLeaseTable}, At: t.now.Add(sweepInterval),
	}
}

// sweep proposes to forget proxies that stopped or were silent for long.
func (t *Table) sweep() []effect.Effect {
	if !t.role.Leading {
		return nil
	}
	out := []effect.Effect{t.armSweep()}
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p == nil || t.now < p.until || !t.forgettable(p) {
			continue
		}
		p.removing = true
		out = append(out, effect.Propose{Command: proto.Command{Proxy: &proto.SetProxy{Host: reg.Host, Remove: true}}})
	}
	return out
}

func (t *Table) forgettable(p *proxyLease) bool {
	if p.request.Draining {
		return true
	}
	return t.now.Sub(max(p.heard, t.since)) >= forgetAfter
}
