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

// follower is the Leadership of a host that does not lead.
type follower struct{}

func (follower) LeadsUntil() types.Instant { return 0 }

// TestFollowerSendsItsViewIfNoLeaseIsNeeded guards against a proxy that serves by a
// follower's view although its targets don't fence themselves: that view may be
// older than the one that the proxy served by before its restart.
func TestFollowerSendsItsViewIfNoLeaseIsNeeded(t *testing.T) {
	for _, managed := range []bool{false, true} {
		state := cluster.New()
		table := lease.NewTable("c1", state, follower{})
		state.Step(event.Input{Event: event.Committed{Entry: proto.Entry{Index: 1, Command: proto.Command{
			Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
				Services: map[types.ServiceName]types.Service{"s": {Name: "s", Managed: managed}},
			}},
		}}}})
		out := table.Step(event.Input{Event: event.LeaseRequested{Request: proto.LeaseRequest{Proxy: "p1", Seq: 1}}})
		g := out[0].(effect.GrantLease).Grant
		assert.Equal(t, g.NotLeader, true)
		assert.Equal(t, g.View != nil, managed)
	}
}
