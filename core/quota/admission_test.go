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

// view returns the view of a proxy that has all rights of an organisation.
func view(rate float64, burst int) *types.NodeView {
	return &types.NodeView{
		Cluster: &types.ClusterView{Config: &types.Config{
			QuotaWindow:   window,
			Organisations: map[types.OrganisationName]types.Organisation{org: {Name: org, Rate: rate, Burst: burst}},
		}},
		LeaseUntil: types.Instant(time.Hour),
		Quotas:     map[types.OrganisationName]types.Quota{org: {Rights: 1 << 20}},
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

// TestLimitIsSplitIntoPeriods covers organisations of all sizes: no window may hold more
// than the limit, a whole burst is admitted at once, and periods are short for those with
// many operations.
func TestLimitIsSplitIntoPeriods(t *testing.T) {
	for _, c := range []struct {
		rate          float64
		burst, rights int
		period        time.Duration
	}{
		{266, 266, 319, time.Second},
		{40, 40, 120, 2500 * time.Millisecond},
		{20, 20, 120, 5 * time.Second},
		{4.4, 4, 26, 5 * time.Second},
		{1, 100, 105, 5 * time.Second},
		{1e300, 0, 1 << 30 / 5, time.Second},
	} {
		limit, ok := quota.LimitOf(types.Organisation{Rate: c.rate, Burst: c.burst}, window)
		assert.Assert(t, ok)
		assert.Equal(t, limit, quota.Limit{Rights: c.rights, Period: c.period, Rate: c.rate, Burst: limit.Burst})
	}
	_, ok := quota.LimitOf(types.Organisation{}, window)
	assert.Assert(t, !ok)
}

// TestNoWindowHoldsMoreThanTheLimit covers any arrivals over a minute.
func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view(float64(rapid.IntRange(1, 200).Draw(t, "rate"))/4, rapid.IntRange(0, 10).Draw(t, "burst"))
		o := v.Cluster.Config.Organisations[org]
		limit := int(o.Rate*window.Seconds()) + o.Burst
		a := quota.NewAdmission(1, 0)
		now := second
		var admitted []types.Instant
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 100), 0, 800).Draw(t, "gaps in ms") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if a.Admit(v, org, now) == quota.Admitted {
				admitted = append(admitted, now)
			}
		}
		assert.Assert(t, most(admitted) <= limit, "%d operations began within a window of %d", most(admitted), limit)
	})
}

func TestRightIsFreeAgainAfterTheWindow(t *testing.T) {
	v, a := view(0.2, 0), quota.NewAdmission(1, 0)
	assert.Equal(t, a.Admit(v, org, second), quota.Admitted)
	assert.Equal(t, a.Admit(v, org, second+1), quota.Wait)
	wait := a.Refuse(org, second+1)
	assert.Assert(t, wait >= window-1 && wait <= window+window/10, "the caller is told to come back after %s", wait)
	assert.Equal(t, a.Admit(v, org, (second+1).Add(wait)), quota.Admitted)
}

func TestOrganisationWithoutALimitIsAdmitted(t *testing.T) {
	v, a := view(0, 0), quota.NewAdmission(1, 0)
	for range 100 {
		assert.Equal(t, a.Admit(v, org, second), quota.Admitted)
	}
	assert.Equal(t, a.Admit(v, "unknown", second), quota.Admitted)
}

// TestRetriesUseRights covers operations that targets may run more than once.
func TestRetriesUseRights(t *testing.T) {
	v, a := view(0.6, 0), quota.NewAdmission(1, 0)
	assert.Equal(t, a.Admit(v, org, second), quota.Admitted)
	a.Charge(v, org, second)
	assert.Equal(t, a.Admit(v, org, second), quota.Admitted)
	assert.Equal(t, a.Admit(v, org, second), quota.Wait)
}

// TestPartEndsAfterTheLease covers a proxy that is cut off from control: it goes on with
// its part for some time.
func TestPartEndsAfterTheLease(t *testing.T) {
	v, a := view(100, 0), quota.NewAdmission(1, 0)
	assert.Equal(t, a.Admit(v, org, v.LeaseUntil), quota.Admitted)
	end := quota.PartsUntil(v.LeaseUntil)
	assert.Equal(t, a.Admit(v, org, end-1), quota.Admitted)
	assert.Equal(t, a.Admit(v, org, end), quota.Wait)
}

// TestPartIsDividedAmongShards covers a proxy of several shards: together they admit no
// more than its part.
func TestPartIsDividedAmongShards(t *testing.T) {
	v := view(1.4, 0)
	admitted := 0
	for shard := range 4 {
		a := quota.NewAdmission(4, shard)
		for range 7 {
			if a.Admit(v, org, second) == quota.Admitted {
				admitted++
			}
		}
	}
	assert.Equal(t, admitted, 7)
}

func TestNoWaitWhileControlHasNoRights(t *testing.T) {
	v, a := view(1, 0), quota.NewAdmission(1, 0)
	v.Quotas[org] = types.Quota{SpentUntil: 2 * second}
	assert.Equal(t, a.Admit(v, org, 2*second-1), quota.Refused)
	assert.Equal(t, a.Admit(v, org, 2*second), quota.Wait)
}
