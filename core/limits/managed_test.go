package limits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
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

var managedRef = types.TargetRef{Service: "a", Name: "t1"}

// managedFleet is a leader before one managed target, and proxies that request leases.
type managedFleet struct {
	t         *testing.T
	svc       types.Service
	now       types.Instant
	state     *cluster.State
	leases    *lease.Table
	allocator *limits.Allocator
	seq       uint64
	index     uint64
	grant     proto.LeaseGrant
	decisions []effect.Decide
}

func newManagedFleet(t *testing.T, connections, proxies int) *managedFleet {
	f := &managedFleet{
		t: t, now: second, state: cluster.New(),
		svc: types.Service{Name: "a", Slots: 3, Connections: connections, Managed: true},
	}
	f.leases = lease.NewTable("c1", f.state, permanentLeader{})
	f.allocator = limits.New(f.state, f.leases)
	f.leases.SetShares(f.allocator)
	f.commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{"a": f.svc},
	}}})
	f.commit(proto.Command{Member: &proto.SetMember{Service: "a", Target: types.Target{Name: "t1"}}})
	for i := range proxies {
		f.commit(proto.Command{Proxy: &proto.SetProxy{Host: host(i)}})
	}
	f.step(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
	for i := range proxies {
		f.request(i, 0, 0)
	}
	return f
}

func host(i int) types.HostID { return types.HostID(fmt.Sprintf("p%03d", i)) }

func (f *managedFleet) step(ev event.Event) {
	in := event.Input{Now: f.now, Event: ev}
	f.state.Step(in)
	for _, eff := range append(f.leases.Step(in), f.allocator.Step(in)...) {
		switch e := eff.(type) {
		case effect.GrantLease:
			f.grant = e.Grant
		case effect.Decide:
			f.decisions = append(f.decisions, e)
		}
	}
}

func (f *managedFleet) commit(c proto.Command) {
	f.index++
	f.step(event.Committed{Entry: proto.Entry{Index: f.index, Command: c}})
}

// request sends a lease request of a proxy that holds and could use the given numbers
// of connections, and returns the proxy's share by the grant.
func (f *managedFleet) request(proxy, held, demand int) types.Share {
	return f.requestFull(proxy, held, demand, false)
}

// requestFull is request of a proxy of which the target may have rejected a connection.
func (f *managedFleet) requestFull(proxy, held, demand int, full bool) types.Share {
	f.seq++
	r := proto.LeaseRequest{Proxy: host(proxy), Seq: f.seq, AppliedVersion: f.index, ViewVersion: f.index}
	if max(held, demand) > 0 || full {
		r.Held = []proto.ShareHeld{{Ref: managedRef, Share: types.Share{Connections: held}, Demand: demand, Full: full}}
	}
	f.step(event.LeaseRequested{Request: r})
	for _, g := range f.grant.Shares {
		if g.Ref == managedRef {
			return g.Share
		}
	}
	return capacity.ManagedShare(f.svc, types.Target{}, f.grant.Fleet)
}

func (f *managedFleet) advance(d time.Duration) { f.now = f.now.Add(d) }

// TestBurstAtOneProxyReachesTheFreeConnections covers 34 proxies before a target of 48
// connections, of which one proxy needs nine at once while the others need none.
func TestBurstAtOneProxyReachesTheFreeConnections(t *testing.T) {
	f := newManagedFleet(t, 48, 34)
	assert.Equal(t, len(f.grant.Shares), 0, "a target with free connections is part of a grant")
	got := f.request(5, 1, 9)
	assert.Assert(t, got.Connections >= 9, "%+v", got)
	assert.Equal(t, got.Connections-got.Shared, 0, "34 proxies keep idle connections of a target that accepts 48")
	assert.Assert(t, !got.Contended, "%+v", got)
	assert.Equal(t, f.grant.Fleet, types.Fleet{Proxies: 34, Index: 5})
}

// TestIdleConnectionsOfAContendedTargetAreClosed covers proxies that hold nearly all
// connections and use few. Every proxy learns that idle ones are to be closed; none is
// kept from opening one.
func TestIdleConnectionsOfAContendedTargetAreClosed(t *testing.T) {
	f := newManagedFleet(t, 48, 34)
	for i := range 34 {
		f.request(i, 2, 0)
	}
	f.advance(300 * time.Millisecond)
	for i := range 34 {
		share := f.request(i, 1, 0)
		assert.Assert(t, share.Contended, "proxy %d", i)
		assert.Equal(t, share.Connections, capacity.Managed(f.svc), "proxy %d", i)
	}
	f.advance(300 * time.Millisecond)
	for range 2 {
		for i := range 34 {
			f.request(i, 0, 0)
		}
		f.advance(300 * time.Millisecond)
	}
	assert.Assert(t, !f.request(0, 1, 1).Contended)
	assert.Equal(t, len(f.decisions), 2, "%+v", f.decisions)
}

// TestContendedTargetIsDividedFairly covers a proxy whose demand alone exceeds what a
// target accepts, beside one with a small demand and 32 idle ones.
func TestContendedTargetIsDividedFairly(t *testing.T) {
	f := newManagedFleet(t, 48, 34)
	f.request(0, 10, 60)
	f.request(1, 3, 4)
	f.advance(300 * time.Millisecond)
	const slack = 3
	greedy, modest, idle := f.request(0, 10, 60), f.request(1, 3, 4), f.request(2, 0, 0)
	assert.Equal(t, modest.Connections, 4+slack, "less than its demand although another one has more")
	assert.Equal(t, idle.Connections, 1+slack)
	sum := greedy.Connections + modest.Connections + 32*idle.Connections - 34*slack
	assert.Assert(t, greedy.Connections >= modest.Connections && sum <= capacity.Managed(f.svc), "%+v; the parts add up to %d connections", greedy, sum)
}

// TestConnectionsOfADeadProxyAreFreeOnceItsLeaseEnds covers a proxy that is killed while
// it holds most connections.
func TestConnectionsOfADeadProxyAreFreeOnceItsLeaseEnds(t *testing.T) {
	f := newManagedFleet(t, 48, 4)
	f.request(0, 44, 44)
	assert.Assert(t, f.request(1, 1, 30).Connections < 30)
	f.advance(2 * lease.Duration)
	for i := range 3 {
		f.request(i+1, 0, 0)
	}
	assert.Assert(t, f.request(1, 1, 30).Connections >= 30)
	assert.Equal(t, f.grant.Fleet.Proxies, 3)
}

// TestNoProxyIsWithoutAConnection covers any number of proxies, more than the target
// has connections included, and any demand: each proxy may open at least one, and the
// parts of a divided target add up to no more than it accepts if there are enough.
func TestNoProxyIsWithoutAConnection(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		proxies := rapid.IntRange(1, 90).Draw(rt, "proxies")
		f := newManagedFleet(t, rapid.IntRange(4, 60).Draw(rt, "connections"), proxies)
		demands := rapid.SliceOfN(rapid.IntRange(0, 50), proxies, proxies).Draw(rt, "demands")
		for i, d := range demands {
			f.request(i, d, d)
		}
		f.advance(100 * time.Millisecond)
		const slack = 3
		sum, most := 0, 0
		for i, d := range demands {
			share := f.request(i, d, d)
			assert.Assert(rt, share.Connections >= 1, "proxy %d has no connection", i)
			assert.Assert(rt, share.Shared >= 0 && share.Shared <= share.Connections, "%+v", share)
			sum, most = sum+share.Connections-slack, max(most, share.Connections)
		}
		free := capacity.Managed(f.svc)
		if most < free && proxies <= free*7/8 {
			assert.Assert(rt, sum <= free, "the parts add up to %d of %d connections", sum, free)
		}
	})
}

// TestLeaderAfterAChangeDividesNothing covers a new leader, which knows of no use yet:
// no proxy waits for the reports of the others.
func TestLeaderAfterAChangeDividesNothing(t *testing.T) {
	f := newManagedFleet(t, 48, 34)
	f.request(0, 10, 40)
	f.step(event.RoleChanged{Leader: "c2", Term: 2})
	f.step(event.RoleChanged{Leading: true, Leader: "c1", Term: 3})
	assert.Equal(t, f.request(1, 1, 2).Connections, capacity.Managed(f.svc))
}

// TestEvenlyHeldConnectionsAreNotContended covers a small fleet that holds all connections
// of a target and needs no more.
func TestEvenlyHeldConnectionsAreNotContended(t *testing.T) {
	f := newManagedFleet(t, 16, 4)
	for range 3 {
		f.advance(300 * time.Millisecond)
		for i, held := range []int{4, 4, 3, 3} {
			assert.Assert(t, !f.request(i, held, 2).Contended, "proxy %d", i)
		}
	}
	f.advance(300 * time.Millisecond)
	assert.Assert(t, f.request(2, 3, 6).Contended)
}
