// Package drain keeps track of targets that leave: since when, and until when
// transactions that began before may go on.
package drain

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Departures records since when each target of a service is not active.
type Departures struct {
	since map[types.TargetName]types.Instant
}

// Update takes in the state of a target at now. It reports whether the target
// began to leave with this call.
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

// Leaving reports whether the target may get no new work.
func (d *Departures) Leaving(name types.TargetName) bool {
	_, ok := d.since[name]
	return ok
}

// Deadline returns until when a transaction on the target may go on, and
// whether there is such a bound.
func (d *Departures) Deadline(name types.TargetName, allowed time.Duration) (types.Instant, bool) {
	since, ok := d.since[name]
	return since.Add(allowed), ok
}
