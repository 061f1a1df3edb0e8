package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/wire"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// routedConfig returns a configuration with count routes and profiles, numbered
// from first on.
func routedConfig(first, count int) *types.Config {
	c := config(3, "a")
	c.Profiles, c.Routes = make(map[types.ProfileName]types.Profile), make(map[types.DatabaseName]types.Route)
	for r := first; r < first+count; r++ {
		name := fmt.Sprintf("database-%06d", r)
		profile := types.ProfileName(name)
		c.Profiles[profile] = types.Profile{
			Name: profile, Freshness: types.FreshAge, MaxAge: 1500 * time.Millisecond, RequestTimeout: time.Second,
			QueueTimeout: time.Second, Objective: 800 * time.Millisecond, DrainTimeout: 5600 * time.Millisecond, Weight: 4,
		}
		database := types.DatabaseName(name)
		c.Routes[database] = types.Route{Database: database, Service: "a", Profile: profile}
	}
	return c
}

// organisations returns organisations with the given number of keys each. The keys differ
// between generations.
func organisations(count, keys int, generation byte) map[types.OrganisationName]types.Organisation {
	out := make(map[types.OrganisationName]types.Organisation)
	for i := range count {
		o := types.Organisation{Name: types.OrganisationName(fmt.Sprintf("organisation-%04d", i)), Rate: 250, Burst: 250}
		for k := range keys {
			o.Keys = append(o.Keys, types.KeyDigest{generation, byte(i), byte(i >> 8), byte(k), 30: 0xff, 31: 0xff})
		}
		out[o.Name] = o
	}
	return out
}

func (l *log) configure(c *types.Config) {
	l.apply(change(fmt.Sprint("change-", l.index), l.state.Config().Version, c))
}

// TestUpdateHoldsOnlyChangedItems guards against updates that hold the whole
// configuration whenever one item of it has changed.
func TestUpdateHoldsOnlyChangedItems(t *testing.T) {
	l := &log{state: cluster.New()}
	l.configure(routedConfig(0, 1400))
	held, _ := cluster.Merge(nil, l.state.Update(0))
	l.configure(routedConfig(1, 1400))
	u := l.state.Update(held.Version)
	assert.Equal(t, len(u.Config.Routes), 1)
	assert.Equal(t, len(u.Config.Profiles), 1)
	assert.Equal(t, len(u.Config.Services), 0)
	assert.Equal(t, len(u.Removed), 2)
	held, _ = cluster.Merge(held, u)
	assert.DeepEqual(t, held.Config, l.state.Config())
}

// TestPartsPassSlowLinks guards against parts that need more than 200 ms on a quarter
// of a link of 4.5 Mbit/s. After that time a proxy turns to another host.
func TestPartsPassSlowLinks(t *testing.T) {
	const maxFrameBytes = 4_500_000 / 8 / 4 / 5 // in 200 ms
	l := &log{state: cluster.New()}
	l.configure(routedConfig(0, 1400))
	for i := range 24 {
		service := types.ServiceName(fmt.Sprintf("service-%d", i))
		c := routedConfig(0, 1400)
		c.Organisations = organisations(300, 8, 0)
		for n := range i + 1 {
			name := types.ServiceName(fmt.Sprintf("service-%d", n))
			c.Services[name] = types.Service{Name: name, Members: 3}
		}
		l.configure(c)
		for m := range 3 {
			l.apply(proto.Command{Member: &proto.SetMember{Service: service, Target: types.Target{
				Name: types.TargetName(fmt.Sprintf("i-%010d", m)), Address: "10.128.100.100:8080", AvailabilityZone: "lowcountry-a", Slots: 5,
			}}})
		}
	}
	var a cluster.ViewAssembly
	parts := 0
	for u := l.state.NextPart(a.Version(), a.Cursor()); u != nil; u = l.state.NextPart(a.Version(), a.Cursor()) {
		frame, err := wire.Encode(wire.Frame{LeaseGrant: &proto.LeaseGrant{View: u}})
		assert.NilError(t, err)
		assert.Assert(t, len(frame) <= maxFrameBytes, "a part takes %d bytes", len(frame))
		assert.Assert(t, a.Apply(u))
		parts++
	}
	assert.Assert(t, parts > 5, "%d parts", parts)
	assert.DeepEqual(t, a.View().Config, l.state.Config())
	assert.DeepEqual(t, a.View().Groups, l.state.View().Groups)
}

// TestOldSnapshotRestartsTheTransfer guards against items that are skipped when a
// proxy continues with a host whose snapshot has no versions of items.
func TestOldSnapshotRestartsTheTransfer(t *testing.T) {
	l := &log{state: cluster.New()}
	for n := range 5 {
		l.configure(routedConfig(100*n, 500))
	}
	var a cluster.ViewAssembly
	assert.Assert(t, a.Apply(l.state.NextPart(0, proto.ViewCursor{})))
	old := l.state.Snapshot()
	old.Views = proto.ViewVersions{}
	other := cluster.New()
	other.Step(event.Input{Event: event.Restored{Snapshot: proto.Snapshot{Index: l.index, State: old}}})
	for u := other.NextPart(a.Version(), a.Cursor()); u != nil; u = other.NextPart(a.Version(), a.Cursor()) {
		assert.Assert(t, a.Apply(u))
	}
	assert.DeepEqual(t, a.View().Config, other.Config())
}

// TestPartsAssembleTheView lets a proxy collect parts from two control hosts, one of
// them lagging, while the configuration changes and hosts restore snapshots. Parts
// are lost, duplicated and delayed. Each view of the proxy must equal a state that
// the log went through, its version must never decrease, and the last view must
// equal the latest state.
func TestPartsAssembleTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{state: cluster.New()}
		lagging := cluster.New()
		var entries []proto.Entry
		states := make(map[uint64]*types.ClusterView)
		var delayed []*proto.ViewUpdate
		var a cluster.ViewAssembly
		receive := func(u *proto.ViewUpdate) {
			before := a.Version()
			a.Apply(u)
			assert.Assert(t, a.Version() >= before, "the view went back")
			if a.Version() > before {
				assert.DeepEqual(t, a.View(), states[a.Version()], cmpopts.EquateEmpty())
			}
		}
		commit := func(c proto.Command) {
			l.apply(c)
			entries = append(entries, proto.Entry{Index: l.index, Command: c})
			states[l.state.View().Version] = l.state.View()
		}
		host := func(t *rapid.T) *cluster.State {
			if rapid.Bool().Draw(t, "host that is behind") {
				return lagging
			}
			return l.state
		}
		restored := func(s *cluster.State, index uint64) *cluster.State {
			next := cluster.New()
			next.Step(event.Input{Event: event.Restored{Snapshot: proto.Snapshot{Index: index, State: s.Snapshot()}}})
			return next
		}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) {
				c := routedConfig(100*rapid.IntRange(0, 9).Draw(t, "first"), rapid.IntRange(0, 900).Draw(t, "count"))
				c.Organisations = organisations(rapid.IntRange(0, 100).Draw(t, "organisations"),
					rapid.IntRange(0, 3).Draw(t, "keys"), rapid.Byte().Draw(t, "generation"))
				commit(change(fmt.Sprint("change-", l.index), l.state.Config().Version, c))
			},
			"change": func(t *rapid.T) { commit(randomCommand(t, l)) },
			"follow": func(t *rapid.T) {
				for _, e := range entries[:rapid.IntRange(0, len(entries)).Draw(t, "entries")] {
					lagging.Step(event.Input{Event: event.Committed{Entry: e}})
				}
			},
			"restore": func(*rapid.T) {
				l.state = restored(l.state, l.index)
				states[l.state.View().Version] = l.state.View()
			},
			"ask": func(t *rapid.T) {
				if u := host(t).NextPart(a.Version(), a.Cursor()); u != nil {
					delayed = append(delayed, u)
				}
			},
			"fetch": func(t *rapid.T) {
				if u := host(t).NextPart(a.Version(), a.Cursor()); u != nil {
					receive(u)
				}
			},
			"receive": func(t *rapid.T) {
				if len(delayed) > 0 {
					receive(rapid.SampledFrom(delayed).Draw(t, "update"))
				}
			},
		})
		for u := l.state.NextPart(a.Version(), a.Cursor()); u != nil; u = l.state.NextPart(a.Version(), a.Cursor()) {
			assert.Assert(t, a.Apply(u), "a part of the only host left does not apply")
			if !u.More {
				assert.DeepEqual(t, a.View(), l.state.View(), cmpopts.EquateEmpty())
			}
		}
		assert.Equal(t, a.Version(), l.state.View().Version)
	})
}

// TestLaggingHostCompletesNoTransfer guards against a view that lacks an item. The
// last part came from a newer state and omitted the item, since it was removed
// there; a lagging host still has the item and would assume that it was sent.
func TestLaggingHostCompletesNoTransfer(t *testing.T) {
	l, lagging := &log{state: cluster.New()}, &log{state: cluster.New()}
	l.configure(routedConfig(0, 400))
	lagging.configure(routedConfig(0, 400))
	var a cluster.ViewAssembly
	assert.Assert(t, a.Apply(lagging.state.NextPart(a.Version(), a.Cursor())))
	l.configure(routedConfig(0, 200))
	assert.Assert(t, a.Apply(l.state.NextPart(a.Version(), a.Cursor())))
	assert.Assert(t, lagging.state.NextPart(a.Version(), a.Cursor()) == nil)
	for u := l.state.NextPart(a.Version(), a.Cursor()); u != nil; u = l.state.NextPart(a.Version(), a.Cursor()) {
		assert.Assert(t, a.Apply(u))
	}
	assert.DeepEqual(t, a.View().Config, l.state.Config())
}

// BenchmarkFirstView reports the uncompressed frame sizes of a first view, and of the
// update after one more route or one key less.
func BenchmarkFirstView(b *testing.B) {
	withOrganisations := func(count int) *types.Config {
		c := routedConfig(0, 1)
		c.Organisations = organisations(count, 2, 0)
		return c
	}
	withoutKey := func(c *types.Config) *types.Config {
		o := c.Organisations["organisation-0007"]
		o.Keys = o.Keys[:1]
		c.Organisations[o.Name] = o
		return c
	}
	for _, size := range []struct {
		name          string
		before, after *types.Config
	}{
		{"1400 routes", routedConfig(0, 1400), routedConfig(0, 1401)},
		{"100 organisations", withOrganisations(100), withoutKey(withOrganisations(100))},
		{"10000 organisations", withOrganisations(10_000), withoutKey(withOrganisations(10_000))},
	} {
		b.Run(size.name, func(b *testing.B) {
			l := &log{state: cluster.New()}
			l.configure(size.before)
			var first, parts int
			for b.Loop() {
				first, parts = 0, 0
				var a cluster.ViewAssembly
				for u := l.state.NextPart(a.Version(), a.Cursor()); u != nil; u = l.state.NextPart(a.Version(), a.Cursor()) {
					first += frameBytes(b, u)
					parts++
					a.Apply(u)
				}
			}
			have := l.state.View().Version
			l.configure(size.after)
			b.ReportMetric(float64(first), "B/view")
			b.ReportMetric(float64(parts), "parts")
			b.ReportMetric(float64(frameBytes(b, l.state.NextPart(have, proto.ViewCursor{}))), "B/update")
		})
	}
}

// frameBytes returns the encoded size of an update.
func frameBytes(b *testing.B, u *proto.ViewUpdate) int {
	b.Helper()
	frame, err := wire.Encode(wire.Frame{LeaseGrant: &proto.LeaseGrant{View: u}})
	assert.NilError(b, err)
	return len(frame)
}
