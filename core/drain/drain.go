// Package drain tracks targets that leave: the time at which each began to leave,
// and the deadline of transactions that started before.
package drain

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Departures records since when each target of a service has not been active.
type Departures struct {
	since map[types.TargetName]types.Instant
}

// Update records the state that a target has at now. It reports whether the target
// began to leave with this update.
func (d *Departures) Update(t types.Target, now types.Instant) bool {
	if t.State == types.TargetActive {
		delete(d.since, t.Name)
		return false
	}
	if _, ok := d.since[t.Name]; ok {
		return false
	}
	if d.since == nil {
		d.since = make(map[types.TargetName]types.Instant)
	}
	d.since[t.Name] = now
	return true
}

// Leaving reports whether the target is leaving and must not get new work.
func (d *Departures) Leaving(name types.TargetName) bool {
	_, ok := d.since[name]
	return ok
}

// Deadline returns the time at which transactions on the target must end, which is
// timeout after it began to leave. It reports false for a target that is not leaving.
func (d *Departures) Deadline(name types.TargetName, timeout time.Duration) (types.Instant, bool) {
	since, ok := d.since[name]
	return since.Add(timeout), ok
}
