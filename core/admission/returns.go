package admission

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Returns spreads the callers that were refused over the time in which they can still be
// served in time, at the rate at which the targets serve them, so that they don't come back
// all at once.
type Returns struct {
	last types.Instant // when the last refused caller may come back
}

// After returns when one more refused caller may come back. perSecond is how many the targets
// serve, and limit the longest delay.
func (r *Returns) After(now types.Instant, perSecond float64, limit time.Duration) time.Duration {
	interval := limit
	if perSecond > 0 {
		interval = min(limit, time.Duration(float64(time.Second)/perSecond))
	}
	r.last = max(r.last, now).Add(interval)
	if r.last.Sub(now) > limit {
		r.last = now.Add(interval)
	}
	return r.last.Sub(now)
}
