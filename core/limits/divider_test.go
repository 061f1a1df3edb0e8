package limits_test

import (
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/limits"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const second = types.Instant(1e9)

// leads is a host that leads for ever.
type leads struct{}

func (leads) LeadsUntil() types.Instant { return 1 << 62 }

// afterRestart returns the shares that a new leader grants first to the proxies
// that ask it, in their order. Two more are registered and gone, but their
// leases may still run.
func afterRestart(svc types.Service, asking ...types.HostID) []types.Share {
	state := cluster.New()
	leases := lease.NewTable("c1", state, leads{})
	divider := limits.New(state, leases)
	leases.SetShares(divider)
	var index uint64
	var grant proto.LeaseGrant
	step := func(ev event.Event) {
		in := event.Input{Now: second, Event: ev}
		state.Step(in)
		for _, eff := range leases.Step(in) {
			if g, ok := eff.(effect.GrantLease); ok {
				grant = g.Grant
			}
		}
		divider.Step(in)
	}
	commit := func(c proto.Command) {
		index++
		step(event.Committed{Entry: proto.Entry{Index: index, Command: c}})
	}
	commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{svc.Name: svc},
	}}})
	commit(proto.Command{Member: &proto.SetMember{Service: svc.Name, Target: types.Target{Name: "t1"}}})
	for _, host := range append(asking, "gone1", "gone2") {
		commit(proto.Command{Proxy: &proto.SetProxy{Host: host}})
	}
	step(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
	var out []types.Share
	for _, host := range asking {
		step(event.LeaseRequested{Request: proto.LeaseRequest{Proxy: host, Seq: 1}})
		out = append(out, grant.Shares[0].Share)
	}
	return out
}

func TestShareAfterAChangeOfLeader(t *testing.T) {
	svc := types.Service{Name: "a", Members: 3, Slots: 4, Connections: 21}
	assert.Equal(t, afterRestart(svc, "p1")[0].Connections, 0, "the others may hold all of them")
	svc.Managed = true
	sum := 0
	for _, got := range afterRestart(svc, "p1", "p2", "p3") {
		assert.Assert(t, got.Connections >= 2, "a proxy has to wait for others: %v", got)
		sum += got.Connections
	}
	assert.Assert(t, sum <= svc.Connections)
}

// TestEachOfManyProxiesGetsAConnection covers hosts that are added to a managed
// service: 30 of them before 56 connections, as on the deployments at hand.
func TestEachOfManyProxiesGetsAConnection(t *testing.T) {
	svc := types.Service{Name: "a", Slots: 5, Connections: 56, Managed: true}
	var hosts []types.HostID
	for i := range 30 {
		hosts = append(hosts, types.HostID(fmt.Sprint("p", i)))
	}
	sum := 0
	for i, got := range afterRestart(svc, hosts...) {
		assert.Assert(t, got.Connections >= 1, "proxy %d has none", i)
		sum += got.Connections
	}
	assert.Assert(t, sum <= svc.Connections)
}
