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

// recoveryTimeout bounds the time from the end of all failures to the next commit.
// It covers an election and the replacement of a lost host.
const recoveryTimeout = 40 * time.Second

// faultInjector causes failures in an order that rapid chooses.
type faultInjector struct {
	*harness
	count int // of proposals and new hosts
}

// TestSafetyUnderFailures checks the harness's properties under random failures, and
// that the cluster commits again once they are over.
func TestSafetyUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultInjector{harness: newHarness(t, rapid.Uint64().Draw(t, "seed"), "a", "b", "c")}
		for _, id := range f.hosts() {
			h := f.cluster.Hosts[id]
			h.Drift = float64(rapid.IntRange(-4, 4).Draw(t, "drift")) / 100
			h.SyncTime = time.Duration(rapid.IntRange(0, 50).Draw(t, "sync")) * time.Millisecond
		}
		f.snapshotEvery = 20
		for _, id := range f.hosts() {
			f.cluster.Start(id)
		}
		f.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
		f.cluster.Start("d")
		t.Repeat(map[string]func(*rapid.T){
			"run":     f.run,
			"propose": f.proposeAnywhere,
			"restart": f.restart,
			"crash":   f.crash,
			"cut":     f.cutLink,
			"isolate": func(t *rapid.T) { f.cluster.Isolate(f.randomHost(t)) },
			"heal":    func(*rapid.T) { f.cluster.Heal() },
			"freeze":  f.freeze,
			"network": f.changeNetwork,
			"lose":    f.loseDisk,
		})
		f.recover()
	})
}

func (f *faultInjector) hosts() []types.HostID { return slices.Sorted(maps.Keys(f.cluster.Hosts)) }

func (f *faultInjector) randomHost(t *rapid.T) types.HostID {
	return rapid.SampledFrom(f.hosts()).Draw(t, "host")
}

func (f *faultInjector) run(t *rapid.T) {
	f.cluster.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// proposeAnywhere proposes a command to every running host. Only a leader
// replicates it.
func (f *faultInjector) proposeAnywhere(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "commands") {
		for _, id := range f.hosts() {
			if f.cluster.Hosts[id].Stepper != nil {
				f.count++
				f.propose(f.nodes[id], fmt.Sprint("change ", f.count))
			}
		}
		f.cluster.Run(time.Millisecond)
	}
}

func (f *faultInjector) crash(t *rapid.T) { f.cluster.Crash(f.randomHost(t)) }

func (f *faultInjector) restart(t *rapid.T) {
	id := f.randomHost(t)
	f.cluster.Crash(id)
	f.cluster.Start(id)
}

func (f *faultInjector) cutLink(t *rapid.T) {
	from, to := f.randomHost(t), f.randomHost(t)
	f.cluster.Cut(from, to)
}

func (f *faultInjector) freeze(t *rapid.T) {
	id := f.randomHost(t)
	f.cluster.Freeze(id)
	f.run(t)
	if f.cluster.Hosts[id].Stepper != nil {
		f.cluster.Thaw(id)
	}
}

func (f *faultInjector) changeNetwork(t *rapid.T) {
	n := &f.cluster.Network
	n.DropPercent = rapid.IntRange(0, 20).Draw(t, "drop")
	n.DuplicatePercent = rapid.IntRange(0, 20).Draw(t, "repeat")
	n.DelayMax = n.DelayMin + time.Duration(rapid.IntRange(1, 200).Draw(t, "delay"))*time.Millisecond
}

// loseDisk removes a host with its disk while the others work, since two lost disks
// of three leave no quorum. The host returns under a new identity.
func (f *faultInjector) loseDisk(t *rapid.T) {
	f.recover()
	f.cluster.Run(recoveryTimeout) // until earlier losses are repaired
	id := f.randomHost(t)
	f.cluster.Crash(id)
	delete(f.cluster.Hosts, id)
	delete(f.nodes, id)
	f.count++
	fresh := types.HostID(fmt.Sprint("n", f.count))
	f.cluster.Hosts[fresh] = &coretest.Host{ID: fresh}
	f.cluster.Start(fresh)
}

// recover ends all failures and waits until a new command is committed.
func (f *faultInjector) recover() {
	f.cluster.Heal()
	f.cluster.Network.DropPercent, f.cluster.Network.DuplicatePercent = 0, 0
	f.cluster.Network.DelayMax = 3 * time.Millisecond
	for _, id := range f.hosts() {
		h := f.cluster.Hosts[id]
		if h.Stepper == nil {
			f.cluster.Start(id)
		}
		f.cluster.Thaw(id)
	}
	f.count++
	f.awaitCommit(recoveryTimeout, fmt.Sprint("change ", f.count))
}
