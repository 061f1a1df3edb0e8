package quota_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	second = types.Instant(time.Second)
	window = 5 * time.Second
	org    = types.OrganisationName("north")
)

// view returns the view of a proxy that is alone, with a limit of the given operations in
// each window.
func view(rate float64, burst int) *types.NodeView {
	return &types.NodeView{
		Cluster: &types.ClusterView{Config: &types.Config{
			QuotaWindow:   window,
			Organisations: map[types.OrganisationName]types.Organisation{org: {Name: org, Rate: rate, Burst: burst}},
		}},
		Fleet: types.Fleet{Proxies: 1},
	}
}

// most returns the largest number of instants within any window.
func most(instants []types.Instant) int {
	largest, first := 0, 0
	for i, at := range instants {
		for at.Sub(instants[first]) >= window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

func TestRightsOfALimit(t *testing.T) {
	assert.Equal(t, quota.Rights(types.Organisation{Rate: 6.4, Burst: 7}, window), 39)
	assert.Equal(t, quota.Rights(types.Organisation{Rate: 1e300}, window), 1<<30)
}

// TestNoWindowHoldsMoreThanTheLimit covers any arrivals over a minute.
func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view(float64(rapid.IntRange(1, 40).Draw(t, "rate"))/4, rapid.IntRange(0, 10).Draw(t, "burst"))
		limit := quota.Rights(v.Cluster.Config.Organisations[org], window)
		a := quota.NewAdmission(1, 0)
		now := second
		var admitted []types.Instant
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 600), 0, 400).Draw(t, "gaps in ms") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if a.Admit(v, org, now) {
				admitted = append(admitted, now)
			}
		}
		assert.Assert(t, most(admitted) <= limit, "%d operations began within a window of %d", most(admitted), limit)
	})
}

func TestRightIsFreeAgainAfterTheWindow(t *testing.T) {
	v, a := view(0.2, 0), quota.NewAdmission(1, 0)
	assert.Assert(t, a.Admit(v, org, second))
	assert.Assert(t, !a.Admit(v, org, second+1))
	wait := a.RetryAfter(v, org, second+1)
	assert.Assert(t, wait >= window-1 && wait <= window+window/10, "the caller is told to come back after %s", wait)
	assert.Assert(t, a.Admit(v, org, (second+1).Add(wait)))
}

func TestOrganisationWithoutALimitIsAdmitted(t *testing.T) {
	v, a := view(0, 0), quota.NewAdmission(1, 0)
	for range 100 {
		assert.Assert(t, a.Admit(v, org, second))
	}
	assert.Assert(t, a.Admit(v, "unknown", second))
}

// TestRetriesUseRights covers operations that targets may run more than once.
func TestRetriesUseRights(t *testing.T) {
	v, a := view(0.6, 0), quota.NewAdmission(1, 0)
	assert.Assert(t, a.Admit(v, org, second))
	a.Charge(v, org, second)
	assert.Assert(t, a.Admit(v, org, second))
	assert.Assert(t, !a.Admit(v, org, second))
}
