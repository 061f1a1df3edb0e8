package consensus_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLogOfLargeChangesStaysSmall guards against a log that outgrows a control
// host: 2,600 changes a day of a configuration with 1,400 routes would come to
// 1 GB before a snapshot by the number of entries alone has made room.
func TestLogOfLargeChangesStaysSmall(t *testing.T) {
	const (
		changes = 150
		source  = 300 << 10 // bytes of such a configuration
		most    = 16 << 20  // bytes of a log; a host has a disk of 128 MB and a memory of 280 MB
	)
	o := newOracle(t, 1, "a", "b", "c")
	o.awaitLeader(takeover)
	filler := strings.Repeat("x", source)
	for i := range changes {
		o.awaitCommit(time.Second, fmt.Sprint(i, filler))
		for id, h := range o.cluster.Hosts {
			size := 0
			for _, e := range h.Disk.Entries {
				if e.Command.Change != nil {
					size += len(e.Command.Change.Source)
				}
			}
			assert.Assert(t, size <= most, "the log of %s holds %d bytes after %d changes", id, size, i)
		}
	}
	o.cluster.Crash("a")
	o.awaitCommit(takeover, "without one host")
	o.cluster.Start("a")
	o.awaitCommit(takeover, "with all hosts")
	o.cluster.Run(time.Second)
	assert.Equal(t, o.nodes["a"].applied, o.leader().applied)
}
