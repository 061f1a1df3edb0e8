package lease_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const ms = types.Instant(time.Millisecond)

// Keys of the holder's timers, in the order of holder.go.
const (
	timerRequest       uint64 = iota // the next request is due
	timerAnswerTimeout               // the last request got no answer
	timerExpiry                      // the lease ends
)

// firstLeaseEnd is when a lease ends that answers the request of newHolderHarness: that
// is sent at 1000 ms, and the lease lasts for 1500 ms less the drift margin of 150 ms.
const firstLeaseEnd = 2350 * ms

// holderHarness steps a holder and records the requests that it sends.
type holderHarness struct {
	holder *lease.Holder
	sent   []effect.RequestLease
}

func newHolderHarness() *holderHarness {
	a := &holderHarness{holder: lease.NewHolder("p1", "z", func(*proto.LeaseRequest) {})}
	a.step(1000*ms, event.Start{})
	return a
}

func (a *holderHarness) step(now types.Instant, ev event.Event) {
	for _, eff := range a.holder.Step(event.Input{Now: now, Seed: 10, Event: ev}) {
		if r, ok := eff.(effect.RequestLease); ok {
			a.sent = append(a.sent, r)
		}
	}
}

func (a *holderHarness) lastRequest() effect.RequestLease { return a.sent[len(a.sent)-1] }

// grant returns the answer of leader c1 to request r.
func grant(r proto.LeaseRequest, view *proto.ViewUpdate) event.LeaseGranted {
	return event.LeaseGranted{From: "c1", Grant: proto.LeaseGrant{
		Proxy: r.Proxy, Seq: r.Seq, SentAt: r.SentAt, Duration: lease.Duration, Term: 1, View: view,
		Shares: []proto.ShareGrant{{Ref: ref, Share: types.Share{Connections: 5}}},
	}}
}

func (a *holderHarness) timer(now types.Instant, key uint64) {
	a.step(now, event.TimerFired{ID: event.TimerID{Domain: event.DomainLeaseHolder, Key: key}})
}

func TestLeaseStartsAtTheRequest(t *testing.T) {
	a := newHolderHarness()
	a.step(1100*ms, grant(a.lastRequest().Request, &proto.ViewUpdate{Version: 1}))
	assert.Equal(t, a.holder.Until(), firstLeaseEnd)
}

func TestGrantsThatBringNoLease(t *testing.T) {
	complete := &proto.ViewUpdate{Version: 1}
	cases := []struct {
		name  string
		now   types.Instant
		grant func(g *proto.LeaseGrant)
	}{
		{"unknown request", 1010 * ms, func(g *proto.LeaseGrant) { g.Seq++ }},
		{"request of an earlier process", 1010 * ms, func(g *proto.LeaseGrant) { g.SentAt -= 5 }},
		{"grant after the lease would have ended", 2400 * ms, func(*proto.LeaseGrant) {}},
		{"view update with an unknown base", 1010 * ms, func(g *proto.LeaseGrant) { g.View = &proto.ViewUpdate{Base: 3, Version: 4} }},
		{"pushed view without a lease", 1010 * ms, func(g *proto.LeaseGrant) { g.Duration = 0 }},
		{"not the leader", 1010 * ms, func(g *proto.LeaseGrant) { g.NotLeader = true }},
	}
	for _, c := range cases {
		a := newHolderHarness()
		e := grant(a.lastRequest().Request, complete)
		c.grant(&e.Grant)
		a.step(c.now, e)
		assert.Equal(t, a.holder.Until(), types.Instant(0), c.name)
		assert.Equal(t, len(a.holder.Shares()), 0, c.name)
	}
}

func TestHolderIgnoresGrantsOfAnAbandonedLeader(t *testing.T) {
	a := newHolderHarness()
	first := a.lastRequest().Request
	a.step(1010*ms, grant(first, &proto.ViewUpdate{Version: 1}))
	a.timer(1300*ms, timerRequest)
	second := a.lastRequest().Request
	assert.Equal(t, a.lastRequest().To, types.HostID("c1"))
	a.timer(1500*ms, timerAnswerTimeout)
	assert.Equal(t, a.lastRequest().To, types.HostID(""))
	late := grant(second, nil)
	late.Grant.Shares[0].Share.Connections = 9
	a.step(1510*ms, late)
	assert.Equal(t, a.holder.Shares()[ref].Connections, 5)
	assert.Equal(t, a.holder.Until(), firstLeaseEnd)
}

func TestHolderFollowsTheLeader(t *testing.T) {
	a := newHolderHarness()
	e := grant(a.lastRequest().Request, nil)
	e.Grant.NotLeader, e.Grant.Leader = true, "c2"
	a.step(1030*ms, e)
	assert.Equal(t, a.lastRequest().To, types.HostID("c2"))
	assert.Equal(t, len(a.sent), 2)
}

func TestLeaseAndSharesEndTogether(t *testing.T) {
	a := newHolderHarness()
	a.step(1010*ms, grant(a.lastRequest().Request, &proto.ViewUpdate{Version: 1}))
	a.timer(firstLeaseEnd, timerExpiry)
	assert.Equal(t, len(a.holder.Shares()), 0)
}

// leader is the Leadership of a host that always leads.
type leader struct{}

func (leader) LeadsUntil() types.Instant { return 1 << 62 }

// newLeader returns the table and the state of a leader with proxy p1 registered.
func newLeader() (*lease.Table, *cluster.State) {
	state := cluster.New()
	state.Step(event.Input{Event: event.Committed{Entry: proto.Entry{Index: 1, Command: proto.Command{
		Proxy: &proto.SetProxy{Host: "p1"},
	}}}})
	table := lease.NewTable("c1", state, leader{})
	table.Step(event.Input{Now: 1, Event: event.RoleChanged{Leading: true, Leader: "c1", Term: 1}})
	return table, state
}

func requestLease(table *lease.Table, now types.Instant, r proto.LeaseRequest) []proto.LeaseGrant {
	r.Proxy = "p1"
	var out []proto.LeaseGrant
	for _, eff := range table.Step(event.Input{Now: now, Event: event.LeaseRequested{Request: r}}) {
		if g, ok := eff.(effect.GrantLease); ok {
			out = append(out, g.Grant)
		}
	}
	return out
}

func TestOlderRequestIsIgnored(t *testing.T) {
	table, _ := newLeader()
	assert.Equal(t, len(requestLease(table, 10*ms, proto.LeaseRequest{Seq: 8, SharesSeq: 7})), 1)
	assert.Equal(t, len(requestLease(table, 20*ms, proto.LeaseRequest{Seq: 7})), 0)
	assert.Equal(t, table.ProxyLeases()[0].Request.SharesSeq, uint64(7))
}

func TestProxyWithAStuckShardLosesItsLease(t *testing.T) {
	table, state := newLeader()
	requestLease(table, 10*ms, proto.LeaseRequest{Seq: 1})
	change := event.Committed{Entry: proto.Entry{Index: 2, Command: proto.Command{
		Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{}},
	}}}
	state.Step(event.Input{Now: 20 * ms, Event: change})
	pushed := table.Step(event.Input{Now: 20 * ms, Event: change})
	assert.Equal(t, len(pushed), 1)
	assert.Equal(t, pushed[0].(effect.GrantLease).Grant.View.Version, uint64(2))
	seq := uint64(2)
	for now := 30 * ms; now < 4000*ms; now += 300 * ms {
		requestLease(table, now, proto.LeaseRequest{Seq: seq, ViewVersion: 2, AppliedVersion: 1})
		seq++
	}
	assert.Assert(t, table.Fenced(2, 4000*ms), "the lease of a proxy with a stuck shard does not end, which blocks the next term")
}

func TestProxiesAreRemoved(t *testing.T) {
	cases := []struct {
		name     string
		draining bool
		after    types.Instant
		want     int
	}{
		{"draining, lease live", true, 1500 * ms, 0},
		{"draining, lease expired", true, 1700 * ms, 1},
		{"silent for 14 seconds", false, 14_000 * ms, 0},
		{"silent for 16 seconds", false, 16_000 * ms, 1},
	}
	for _, c := range cases {
		table, _ := newLeader()
		requestLease(table, 10*ms, proto.LeaseRequest{Seq: 1, Draining: c.draining})
		sweep := event.TimerFired{ID: event.TimerID{Domain: event.DomainLeaseTable}}
		removed := 0
		for _, eff := range table.Step(event.Input{Now: c.after, Event: sweep}) {
			if p, ok := eff.(effect.Propose); ok && p.Command.Proxy.Remove {
				removed++
			}
		}
		assert.Equal(t, removed, c.want, c.name)
	}
}

// TestViewsOfAFollower covers a proxy that reaches only followers. Their answers
// bring views but no lease, and the shares of managed targets follow the views. The proxy applies newer views, so that it doesn't serve by an outdated one
// for as long as there is no leader, and never goes back to an older view.
func TestViewsOfAFollower(t *testing.T) {
	a := newHolderHarness()
	view := func(version uint64, connections int) *proto.ViewUpdate {
		return &proto.ViewUpdate{
			Version: version,
			Config: &types.Config{Services: map[types.ServiceName]types.Service{
				"s": {Name: "s", Connections: connections, Managed: true},
			}},
			Groups: []*types.Group{{Service: "s", Members: []types.Target{{Name: "t1"}}}},
		}
	}
	for i, c := range []struct {
		update *proto.ViewUpdate
		want   uint64
	}{{view(5, 40), 5}, {view(9, 80), 9}, {view(7, 160), 9}} {
		now := types.Instant(1000+110*i)*ms + 10*ms
		r := a.lastRequest().Request
		a.step(now, event.LeaseGranted{From: "c2", Grant: proto.LeaseGrant{
			Proxy: r.Proxy, Seq: r.Seq, SentAt: r.SentAt, NotLeader: true, View: c.update,
		}})
		assert.Equal(t, a.holder.Until(), types.Instant(0))
		assert.Equal(t, a.holder.Cluster().Version, c.want)
		svc := a.holder.Cluster().Config.Services["s"]
		assert.Equal(t, a.holder.Shares()[types.TargetRef{Service: "s", Name: "t1"}], capacity.ManagedShare(svc, types.Target{}, types.Fleet{}))
		a.timer(now+90*ms, timerRequest)
	}
}

// TestViewOfALateGrantIsApplied guards against a proxy that never gets a view
// because each answer takes longer than the timeout after which the proxy sends its
// request to another control host.
func TestViewOfALateGrantIsApplied(t *testing.T) {
	a := newHolderHarness()
	first := a.lastRequest().Request
	a.timer(1200*ms, timerAnswerTimeout)
	assert.Assert(t, a.lastRequest().Request.Seq != first.Seq)
	a.step(1350*ms, grant(first, &proto.ViewUpdate{Version: 3}))
	assert.Equal(t, a.holder.Cluster().Version, uint64(3))
	assert.Equal(t, a.holder.Until(), types.Instant(0))
	assert.Equal(t, len(a.holder.Shares()), 0)
}

// TestFollowerSendsTheWholeFirstView covers a proxy that starts: the follower that it asks
// first sends all parts of its view, and the leader grants the lease.
func TestFollowerSendsTheWholeFirstView(t *testing.T) {
	a := newHolderHarness()
	now := 1000 * ms
	through := proto.ViewCursor{FirstVersion: 9, LastVersion: 9}
	for part := range 5 {
		r := a.lastRequest()
		assert.Assert(t, part == 0 || r.To == "c2", "part %d is requested from %q", part, r.To)
		u := &proto.ViewUpdate{Version: 9, After: through, Through: through, More: part < 4}
		if part == 0 {
			u.After = proto.ViewCursor{}
		}
		u.Through.Last.Version = uint64(part + 1)
		through = u.Through
		now += 30 * ms
		a.step(now, event.LeaseGranted{From: "c2", Grant: proto.LeaseGrant{
			Proxy: "p1", Seq: r.Request.Seq, SentAt: r.Request.SentAt, NotLeader: true, Leader: "c1", View: u,
		}})
	}
	assert.Equal(t, a.holder.Cluster().Version, uint64(9))
	assert.Equal(t, a.lastRequest().To, types.HostID("c1"))
	a.step(now+30*ms, grant(a.lastRequest().Request, nil))
	assert.Assert(t, a.holder.Until() > now)
}
