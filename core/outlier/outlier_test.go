package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	members  = 3
	interval = 500 * time.Millisecond // between two requests to one target
)

// load sends requests to a target as far as the detector allows and counts the failures.
type load struct {
	detector *Detector
	rand     *rand.Rand
	now      types.Instant
	sent     int
	failed   int
	ejected  []time.Duration // when, from the start
}

func newLoad(seed uint64) *load {
	return &load{detector: NewDetector(), rand: rand.New(rand.NewPCG(seed, 1)), now: types.Instant(time.Second)}
}

// run offers requests to a target for some time, of which a part fails.
func (l *load) run(name types.TargetName, d time.Duration, failures float64) {
	for end := l.now.Add(d); l.now < end; l.now = l.now.Add(interval) {
		if !l.detector.Allows(name, l.now) {
			continue
		}
		l.detector.Sent(name, l.now)
		l.sent++
		failed := l.rand.Float64() < failures
		if failed {
			l.failed++
		}
		if l.detector.Observe(name, failed, members, l.now) == Ejected {
			l.ejected = append(l.ejected, l.now.Sub(types.Instant(time.Second)))
		}
	}
}

// TestTargetThatFailsInPartIsEjected covers a target that fails nearly half of two requests
// a second, for 7 s: it is found after a few failures.
func TestTargetThatFailsInPartIsEjected(t *testing.T) {
	var failed, unaware int
	for seed := range uint64(100) {
		l := newLoad(seed)
		l.run("b", 7*time.Second, 0.45)
		failed += l.failed
		if len(l.ejected) == 0 {
			unaware++
		}
	}
	assert.Assert(t, failed < 400, "%d failures in 100 times 7 s, 630 without ejection", failed)
	assert.Assert(t, unaware <= 5, "not found in %d of 100", unaware)
}

// TestUsualFailuresDoNotEject covers a minute of a target that fails one request of a
// hundred.
func TestUsualFailuresDoNotEject(t *testing.T) {
	ejections := 0
	for seed := range uint64(100) {
		l := newLoad(seed)
		l.run("b", time.Minute, 0.01)
		ejections += len(l.ejected)
	}
	assert.Assert(t, ejections <= 5, "%d ejections in 100 minutes", ejections)
}

// TestEjectionGrowsWithRepetition covers a target that goes on failing: between ejections it
// gets single requests, and ever fewer.
func TestEjectionGrowsWithRepetition(t *testing.T) {
	l := newLoad(1)
	l.run("b", time.Minute, 1)
	for i := 2; i < len(l.ejected); i++ {
		assert.Assert(t, l.ejected[i]-l.ejected[i-1] >= l.ejected[i-1]-l.ejected[i-2], "%v", l.ejected)
	}
	assert.Assert(t, l.sent < 15, "%d requests in a minute", l.sent)
}

// TestTargetReturnsByATrickle covers a target that has recovered: it gets single requests
// first, and all of them after three successes.
func TestTargetReturnsByATrickle(t *testing.T) {
	d := NewDetector()
	now := types.Instant(time.Second)
	d.Observe("b", true, members, now)
	assert.Equal(t, d.Observe("b", true, members, now), Ejected)
	assert.Assert(t, !d.Allows("b", now.Add(baseEjection-1)))
	now = now.Add(baseEjection)
	for i := range trickleSuccesses {
		assert.Assert(t, d.Allows("b", now))
		d.Sent("b", now)
		assert.Assert(t, !d.Allows("b", now.Add(trickleInterval-1)), "more than a trickle")
		want := Unchanged
		if i == trickleSuccesses-1 {
			want = Returned
		}
		assert.Equal(t, d.Observe("b", false, members, now), want)
		now = now.Add(trickleInterval)
	}
	d.Sent("b", now)
	assert.Assert(t, d.Allows("b", now))
}

// TestMostTargetsStay covers failures of all targets at once, which show that something else
// has failed.
func TestMostTargetsStay(t *testing.T) {
	d := NewDetector()
	now := types.Instant(time.Second)
	allowed := 0
	for _, name := range []types.TargetName{"a", "b", "c"} {
		for range 5 {
			d.Observe(name, true, members, now)
		}
		if d.Allows(name, now) {
			allowed++
		}
	}
	assert.Equal(t, allowed, 2)
	d.Keep(func(n types.TargetName) bool { return n != "a" })
	assert.Equal(t, d.Observe("b", true, members, now), Ejected, "a target that is gone counts as ejected")
}
