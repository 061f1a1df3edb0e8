package lease_test

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestProxyLearnsControlHostsFromAFollower guards against a proxy that never finds
// the leader because, after control hosts were replaced, it reaches only followers.
func TestProxyLearnsControlHostsFromAFollower(t *testing.T) {
	for _, have := range []uint64{0, 7} {
		state := cluster.New()
		table := lease.NewTable("c1", state, follower{})
		state.Step(event.Input{Event: event.Committed{Entry: proto.Entry{Index: 1, Command: proto.Command{
			Voters: &proto.SetVoters{Voters: []proto.Voter{{Host: "c1", Address: "1:1"}, {Host: "c9", Address: "9:9"}}},
		}}}})
		a := newHolderHarness()
		request := a.lastRequest().Request
		request.ViewVersion = have
		var known []types.Address
		for _, eff := range table.Step(event.Input{Event: event.LeaseRequested{Request: request}}) {
			grant := eff.(effect.GrantLease).Grant
			for _, learned := range a.holder.Step(event.Input{Now: 1010 * ms, Event: event.LeaseGranted{From: "c1", Grant: grant}}) {
				if k, ok := learned.(effect.UpdateControlHosts); ok {
					known = k.Addresses
				}
			}
		}
		assert.DeepEqual(t, known, []types.Address{"1:1", "9:9"})
	}
}
