package limits_test

import (
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

// permanentLeader is a leadership that never expires.
type permanentLeader struct{}

func (permanentLeader) LeadsUntil() types.Instant { return 1 << 62 }

// firstShares returns the shares that a new leader grants to the requesting proxies,
// in their order. Two more proxies are registered but down; their leases may still
// be valid.
func firstShares(svc types.Service, requesting ...types.HostID) []types.Share {
	state := cluster.New()
	leases := lease.NewTable("c1", state, permanentLeader{})
	allocator := limits.New(state, leases)
	leases.SetShares(allocator)
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
		allocator.Step(in)
	}
	commit := func(c proto.Command) {
		index++
		step(event.Committed{Entry: proto.Entry{Index: index, Command: c}})
	}
	commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{svc.Name: svc},
	}}})
	commit(proto.Command{Member: &proto.SetMember{Service: svc.Name, Target: types.Target{Name: "t1"}}})
	for _, host := range append(requesting, "gone1", "gone2") {
		commit(proto.Command{Proxy: &proto.SetProxy{Host: host}})
	}
	step(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
	var out []types.Share
	for _, host := range requesting {
		step(event.LeaseRequested{Request: proto.LeaseRequest{Proxy: host, Seq: 1}})
		out = append(out, grant.Shares[0].Share)
	}
	return out
}

// TestShareAfterAChangeOfLeader guards against a new leader that grants connections
// which a proxy unknown to it may still hold.
func TestShareAfterAChangeOfLeader(t *testing.T) {
	svc := types.Service{Name: "a", Members: 3, Slots: 4, Connections: 21}
	assert.Equal(t, firstShares(svc, "p1")[0].Connections, 0, "the other proxies may hold all connections")
}
