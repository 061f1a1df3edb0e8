package consensus_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"pgregory.net/rapid"
)

// recovery bounds the time from the end of all failures to the next commit:
// it covers an election, and the replacement of a lost host.
const recovery = 40 * time.Second

// chaos brings failures about in an order that rapid chooses.
type chaos struct {
	*oracle
	count int // of proposals and new hosts
}

// TestSafetyUnderFailures checks the oracle under random failures, and that
// the cluster commits again once they are over.
func TestSafetyUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chaos{oracle: newOracle(t, rapid.Uint64().Draw(t, "seed"), "a", "b", "c")}
		for _, id := range c.hosts() {
			h := c.cluster.Hosts[id]
			h.Drift = float64(rapid.IntRange(-4, 4).Draw(t, "drift")) / 100
			h.SyncTime = time.Duration(rapid.IntRange(0, 50).Draw(t, "sync")) * time.Millisecond
		}
		c.snapshotEvery = 20
		for _, id := range c.hosts() {
			c.cluster.Start(id)
		}
		c.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
		c.cluster.Start("d")
		t.Repeat(map[string]func(*rapid.T){
			"run":     c.run,
			"propose": c.proposeAnywhere,
			"restart": c.restart,
			"crash":   c.crash,
			"cut":     c.cutLink,
			"isolate": func(t *rapid.T) { c.cluster.Isolate(c.pick(t)) },
			"heal":    func(*rapid.T) { c.cluster.Heal() },
			"freeze":  c.freeze,
			"network": c.network,
			"lose":    c.loseDisk,
		})
		c.recover()
	})
}

func (c *chaos) hosts() []types.HostID { return slices.Sorted(maps.Keys(c.cluster.Hosts)) }

func (c *chaos) pick(t *rapid.T) types.HostID { return rapid.SampledFrom(c.hosts()).Draw(t, "host") }

func (c *chaos) run(t *rapid.T) {
	c.cluster.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// proposeAnywhere gives every host that runs a command; only a leader takes it.
func (c *chaos) proposeAnywhere(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "commands") {
		for _, id := range c.hosts() {
			if c.cluster.Hosts[id].Stepper != nil {
				c.count++
				c.propose(c.nodes[id], fmt.Sprint("change ", c.count))
			}
		}
		c.cluster.Run(time.Millisecond)
	}
}

func (c *chaos) crash(t *rapid.T) { c.cluster.Crash(c.pick(t)) }

func (c *chaos) restart(t *rapid.T) {
	id := c.pick(t)
	c.cluster.Crash(id)
	c.cluster.Start(id)
}

func (c *chaos) cutLink(t *rapid.T) {
	from, to := c.pick(t), c.pick(t)
	c.cluster.Cut(from, to)
}

func (c *chaos) freeze(t *rapid.T) {
	id := c.pick(t)
	c.cluster.Freeze(id)
	c.run(t)
	if c.cluster.Hosts[id].Stepper != nil {
		c.cluster.Thaw(id)
	}
}

func (c *chaos) network(t *rapid.T) {
	n := &c.cluster.Network
	n.DropPercent = rapid.IntRange(0, 20).Draw(t, "drop")
	n.DuplicatePercent = rapid.IntRange(0, 20).Draw(t, "repeat")
	n.DelayMax = n.DelayMin + time.Duration(rapid.IntRange(1, 200).Draw(t, "delay"))*time.Millisecond
}

// loseDisk empties a disk while the others work, as two lost disks of three
// leave no quorum. The host returns under a new identity.
func (c *chaos) loseDisk(t *rapid.T) {
	c.recover()
	c.cluster.Run(recovery) // until earlier losses are repaired
	id := c.pick(t)
	c.cluster.Crash(id)
	delete(c.cluster.Hosts, id)
	delete(c.nodes, id)
	c.count++
	fresh := types.HostID(fmt.Sprint("n", c.count))
	c.cluster.Hosts[fresh] = &coretest.Host{ID: fresh}
	c.cluster.Start(fresh)
}

// recover ends all failures and waits until a new command is committed.
func (c *chaos) recover() {
	c.cluster.Heal()
	c.cluster.Network.DropPercent, c.cluster.Network.DuplicatePercent = 0, 0
	c.cluster.Network.DelayMax = 3 * time.Millisecond
	for _, id := range c.hosts() {
		h := c.cluster.Hosts[id]
		if h.Stepper == nil {
			c.cluster.Start(id)
		}
		c.cluster.Thaw(id)
	}
	c.count++
	c.awaitCommit(recovery, fmt.Sprint("change ", c.count))
}
