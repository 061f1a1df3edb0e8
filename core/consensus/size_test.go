package consensus_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLogOfLargeChangesStaysSmall guards against a log that exceeds the disk and
// memory of a control host. With 2,600 changes a day to a configuration of 1,400
// routes, a limit on the number of entries alone would let the log grow to 1 GB
// before a snapshot.
func TestLogOfLargeChangesStaysSmall(t *testing.T) {
	const (
		changes     = 150
		sourceBytes = 300 << 10 // bytes of such a configuration
		maxLogBytes = 16 << 20  // bytes of a log; a host has a disk of 128 MB and a memory of 280 MB
	)
	c := newHarness(t, 1, "a", "b", "c")
	c.awaitLeader(failoverTimeout)
	filler := strings.Repeat("x", sourceBytes)
	for i := range changes {
		c.awaitCommit(time.Second, fmt.Sprint(i, filler))
		for id, h := range c.cluster.Hosts {
			size := 0
			for _, e := range h.Disk.Entries {
				if e.Command.Change != nil {
					size += len(e.Command.Change.Source)
				}
			}
			assert.Assert(t, size <= maxLogBytes, "the log of %s holds %d bytes after %d changes", id, size, i)
		}
	}
	c.cluster.Crash("a")
	c.awaitCommit(failoverTimeout, "without one host")
	c.cluster.Start("a")
	c.awaitCommit(failoverTimeout, "with all hosts")
	c.cluster.Run(time.Second)
	assert.Equal(t, c.nodes["a"].applied, c.leader().applied)
}
