package consensus_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"gotest.tools/v3/assert"
)

// TestHostThatReachesNoLeaderJoins guards against a new host that can't join
// because it reaches only followers. It and the leader exchange no messages until
// the leader knows its address.
func TestHostThatReachesNoLeaderJoins(t *testing.T) {
	const joinBound = time.Second // a catch-up time of 4 s also has to cover silence and replication
	for seed := range uint64(10) {
		c := newHarness(t, seed, "a", "b", "c")
		l := c.awaitLeader(failoverTimeout)
		c.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
		c.cluster.Cut("d", l.ID())
		c.cluster.Cut(l.ID(), "d")
		c.cluster.Start("d")
		known := c.cluster.RunUntil(joinBound, func() bool { return isLearner(l, "d") })
		assert.Assert(t, known, "seed %d: the leader does not know the new host after %v", seed, joinBound)
		c.cluster.Heal()
		c.awaitCommit(failoverTimeout, "with the new host")
		c.cluster.Run(time.Second)
		assert.Equal(t, c.nodes["d"].applied, l.applied)
	}
}
