package capacity_test

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func TestSlotsOfFewAndManyProxies(t *testing.T) {
	cases := []struct {
		slots, proxies int
		shares         []int
	}{
		{3, 4, []int{1, 1, 1, 1}}, // an even split would leave the last proxy without a slot
		{5, 4, []int{2, 1, 1, 1}},
		{2, 4, []int{1, 1, 0, 0}},
		{0, 2, []int{0, 0}},
	}
	for _, c := range cases {
		var shares []int
		for at := range c.proxies {
			shares = append(shares, capacity.Slots(c.slots, c.proxies, at))
		}
		assert.DeepEqual(t, shares, c.shares)
	}
}

// TestProxiesKeepIdleConnectionsWhileAThirdIsLeft covers fleets in which idle connections
// of all proxies leave a third of a target's connections for bursts, and half of them while
// the target is contended.
func TestProxiesKeepIdleConnectionsWhileAThirdIsLeft(t *testing.T) {
	cases := []struct{ connections, proxies, first, last, contended int }{
		{16, 4, 3, 2, 1},
		{56, 4, 9, 9, 6},
		{70, 26, 2, 1, 1},
		{48, 34, 0, 0, 0},
		{144, 71, 2, 1, 1},
		{144, 78, 2, 1, 0},
		{144, 300, 0, 0, 0},
		{56, 96, 0, 0, 0},
		{3, 1, 0, 0, 0},
	}
	for _, c := range cases {
		svc := types.Service{Connections: c.connections, Managed: true}
		sum, all := 0, capacity.Managed(svc)
		for i := range c.proxies {
			kept := capacity.Kept(svc, types.Fleet{Proxies: c.proxies, Index: i})
			sum += kept
			assert.Assert(t, kept >= capacity.KeptWhileContended(svc, c.proxies))
			if i == 0 {
				assert.Equal(t, kept, c.first, "%d connections, %d proxies", c.connections, c.proxies)
			}
			if i == c.proxies-1 {
				assert.Equal(t, kept, c.last, "%d connections, %d proxies", c.connections, c.proxies)
			}
		}
		assert.Assert(t, 3*sum <= 2*all)
		assert.Equal(t, capacity.KeptWhileContended(svc, c.proxies), c.contended)
		assert.Assert(t, 2*c.contended*c.proxies <= all)
		assert.Equal(t, capacity.KeptByOthers(svc, c.proxies, c.proxies), sum)
		assert.Assert(t, capacity.KeptByOthers(svc, c.proxies, 1) == c.first)
	}
}

func TestManagedShareIsTheWholeTarget(t *testing.T) {
	svc := types.Service{Connections: 48, Slots: 9, Managed: true}
	got := capacity.ManagedShare(svc, types.Target{Slots: 3}, types.Fleet{Proxies: 34, Index: 2})
	assert.Equal(t, got, types.Share{Connections: 46, Shared: 46, Slots: 1})
	assert.Equal(t, capacity.ManagedShare(svc, types.Target{Slots: 3}, types.Fleet{}), types.Share{Connections: 5, Slots: 1}, "before the number of proxies is known")
}
