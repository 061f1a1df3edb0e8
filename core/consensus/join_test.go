package consensus_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"gotest.tools/v3/assert"
)

// TestHostThatReachesNoLeaderIsTakenIn guards against a new host that stays out
// because the hosts that it knows are followers. Until the leader knows its
// address, no message passes between the two.
func TestHostThatReachesNoLeaderIsTakenIn(t *testing.T) {
	const joinBound = time.Second // a catch-up time of 4 s has to hold silence and replication too
	for seed := range uint64(10) {
		o := newOracle(t, seed, "a", "b", "c")
		l := o.awaitLeader(takeover)
		o.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
		o.cluster.Cut("d", l.ID())
		o.cluster.Cut(l.ID(), "d")
		o.cluster.Start("d")
		known := o.cluster.RunUntil(joinBound, func() bool { return learns(l, "d") })
		assert.Assert(t, known, "seed %d: the leader does not know the new host after %v", seed, joinBound)
		o.cluster.Heal()
		o.awaitCommit(takeover, "with the new host")
		o.cluster.Run(time.Second)
		assert.Equal(t, o.nodes["d"].applied, l.applied)
	}
}
