package consensus_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestBurstOfChangesIsSentTogether proposes many changes at once, as when a fleet starts.
// A link holds a limited number of messages and drops the oldest beyond it, so that a
// follower that misses one rejects those after it.
func TestBurstOfChangesIsSentTogether(t *testing.T) {
	const changes, linkCapacity = 1000, 256
	c := newHarness(t, 1, "a", "b", "c")
	c.cluster.Network.DelayMin, c.cluster.Network.DelayMax = 5*time.Millisecond, 5*time.Millisecond
	l := c.awaitLeader(failoverTimeout)
	sent := make(map[types.HostID]int)
	c.cluster.Effect = func(_ *coretest.Host, eff effect.Effect) {
		if e, ok := eff.(effect.SendPeer); ok && e.Message.Kind == proto.MsgAppend {
			sent[e.Message.To]++
		}
	}
	before := l.Commit()
	for range changes {
		c.cluster.Step(l.host, event.Proposed{Command: proto.Command{}})
	}
	for to, n := range sent {
		assert.Assert(t, n < linkCapacity, "%d appends wait for host %s", n, to)
	}
	c.cluster.Run(time.Second)
	assert.Assert(t, l.Commit() >= before+changes, "%d of %d changes were committed", l.Commit()-before, changes)
	for to, n := range sent {
		assert.Assert(t, n < changes/10, "%d appends were sent to host %s", n, to)
	}
}
