package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// send adds the given numbers of operations a second of each organisation for some time.
func send(u *Usage, from types.Instant, d time.Duration, perSecond map[types.OrganisationName]int) types.Instant {
	for now := from; now < from.Add(d); now = now.Add(time.Second) {
		for name, n := range perSecond {
			for range n {
				u.Add(name, now)
			}
		}
	}
	return from.Add(d)
}

// TestHotOrganisationGivesWayFirst covers an organisation that sends six times its usual
// while the targets carry about what is usual: the others are hardly refused, a large one
// included.
func TestHotOrganisationGivesWayFirst(t *testing.T) {
	var u Usage
	now := send(&u, types.Instant(time.Second), 30*time.Second, map[types.OrganisationName]int{"hot": 4, "large": 20, "small": 2})
	send(&u, now, 6*time.Second, map[types.OrganisationName]int{"hot": 24, "large": 20, "small": 2})
	const part = 0.7
	assert.Assert(t, u.Part("hot", part) < 0.6, "%.2f of the hot one", u.Part("hot", part))
	assert.Assert(t, u.Part("large", part) > 0.8, "%.2f of the large one", u.Part("large", part))
	assert.Assert(t, u.Part("small", part) == 1, "%.2f of the small one", u.Part("small", part))
	assert.Equal(t, u.Part("unknown", part), 1.0)
	assert.Equal(t, u.Part("hot", 1), 1.0)
}

// TestGeneralSurgeRefusesAllAlike covers organisations that all send three times as much.
func TestGeneralSurgeRefusesAllAlike(t *testing.T) {
	var u Usage
	now := send(&u, types.Instant(time.Second), 30*time.Second, map[types.OrganisationName]int{"a": 10, "b": 10})
	send(&u, now, 6*time.Second, map[types.OrganisationName]int{"a": 30, "b": 30})
	for _, name := range []types.OrganisationName{"a", "b"} {
		part := u.Part(name, 0.5)
		assert.Assert(t, part > 0.49 && part < 0.51, "%.2f of %s", part, name)
	}
}

// TestOrganisationsAreForgotten bounds the state of organisations that send nothing.
func TestOrganisationsAreForgotten(t *testing.T) {
	var u Usage
	now := send(&u, types.Instant(time.Second), time.Second, map[types.OrganisationName]int{"a": 1, "b": 1})
	now = now.Add(10 * usualUse)
	u.Add("b", now)
	assert.Equal(t, len(u.uses), 1)
}

// BenchmarkPart measures one admission decision while a part of a priority is refused.
func BenchmarkPart(b *testing.B) {
	for _, organisations := range []int{100, 10_000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) {
			var u Usage
			now := types.Instant(time.Second)
			for i := 0; b.Loop(); i++ {
				name := types.OrganisationName(strconv.Itoa(i % organisations))
				now = now.Add(time.Millisecond)
				u.Add(name, now)
				u.Part(name, 0.5)
			}
		})
	}
}
