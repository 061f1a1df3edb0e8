// Package outlier finds targets that fail part of the requests sent to them, by the results
// of a proxy's own requests: health checks of such targets may well succeed.
package outlier

import (
	"math"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Parameters of the sequential test between a target that fails usualFailures of its
// requests and one that fails outlierFailures of them. It needs as many samples as it takes
// until one is evidenceLimit times as likely as the other: two failures in a row, or three
// among nine requests.
const (
	usualFailures   = 0.02
	outlierFailures = 0.4
	evidenceLimit   = 100
	// evidenceHalfLife is the time after which earlier results count half.
	evidenceHalfLife = 10 * time.Second
)

const (
	// baseEjection is how long a target gets no requests after its first ejection. The
	// time doubles with each further one, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 8 * time.Second
	// maxEjectedPart is the part of a service's targets that may be ejected at once. The
	// others could not carry the load of more.
	maxEjectedPart = 0.5
	// trickleInterval is the time between two requests to a target that returns, and
	// trickleSuccesses the successes in a row after which it counts as healthy.
	trickleInterval  = 250 * time.Millisecond
	trickleSuccesses = 3
	// healthyAfter is how long a target must have been healthy to be ejected for
	// baseEjection again.
	healthyAfter = 30 * time.Second
)

// Change is what a result changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Ejected          // the target gets no requests for a while
	Returned         // the target is healthy again
)

// Detector judges the targets of one service.
type Detector struct {
	targets map[types.TargetName]*target
}

// target is what is known of one target.
type target struct {
	evidence   float64       // logarithm of how much likelier the results are of an outlier, at least 0
	resultAt   types.Instant // of the last result
	ejections  int           // in a row
	until      types.Instant // end of the last ejection, or zero
	returning  bool          // it gets a trickle of requests from until on
	trickledAt types.Instant // when the last of them was allowed
	successes  int           // in a row, while returning
	healthyAt  types.Instant // when it last returned
}

// NewDetector returns a detector that knows no target.
func NewDetector() *Detector { return &Detector{targets: make(map[types.TargetName]*target)} }

// Observe records the result of a request, sent to one of the given number of targets of the
// service.
func (d *Detector) Observe(name types.TargetName, failed bool, targets int, now types.Instant) Change {
	t := d.target(name)
	t.add(failed, now)
	if t.returning {
		return d.observeReturning(t, failed, targets, now)
	}
	if t.evidence < math.Log(evidenceLimit) {
		return Unchanged
	}
	return d.eject(t, targets, now)
}

// observeReturning handles the result of a request to a target that gets a trickle.
func (d *Detector) observeReturning(t *target, failed bool, targets int, now types.Instant) Change {
	switch {
	case now < t.until:
		return Unchanged // of a request that was sent before
	case failed:
		return d.eject(t, targets, now)
	}
	if t.successes++; t.successes < trickleSuccesses {
		return Unchanged
	}
	t.returning, t.evidence, t.healthyAt = false, 0, now
	return Returned
}

// eject withholds requests from a target unless too many are ejected already.
func (d *Detector) eject(t *target, targets int, now types.Instant) Change {
	if !t.returning && d.ejected() >= int(maxEjectedPart*float64(targets)) {
		return Unchanged
	}
	if t.healthyAt != 0 && now.Sub(t.healthyAt) >= healthyAfter {
		t.ejections = 0
	}
	t.until = now.Add(retry.ExponentialDelay(baseEjection, maxEjection, t.ejections))
	t.ejections++
	t.returning, t.successes, t.evidence = true, 0, 0
	return Ejected
}

// Allows reports whether the target may get a request now: always unless it was ejected,
// then only a trickle until it counts as healthy.
func (d *Detector) Allows(name types.TargetName, now types.Instant) bool {
	t := d.targets[name]
	return t == nil || !t.returning || now >= t.until && now.Sub(t.trickledAt) >= trickleInterval
}

// Sent records that a request is sent to the target.
func (d *Detector) Sent(name types.TargetName, now types.Instant) {
	if t := d.targets[name]; t != nil && t.returning {
		t.trickledAt = now
	}
}

// ejected returns how many targets are ejected or returning.
func (d *Detector) ejected() int {
	n := 0
	for _, t := range d.targets {
		if t.returning {
			n++
		}
	}
	return n
}

// Keep forgets the targets that keep does not hold for.
func (d *Detector) Keep(keep func(types.TargetName) bool) {
	for name := range d.targets {
		if !keep(name) {
			delete(d.targets, name)
		}
	}
}

func (d *Detector) target(name types.TargetName) *target {
	t, ok := d.targets[name]
	if !ok {
		t = &target{}
		d.targets[name] = t
	}
	return t
}

// add adds a result to the evidence.
func (t *target) add(failed bool, now types.Instant) {
	t.evidence *= math.Exp2(-float64(now.Sub(t.resultAt)) / float64(evidenceHalfLife))
	t.resultAt = now
	ratio := (1 - outlierFailures) / (1 - usualFailures)
	if failed {
		ratio = outlierFailures / usualFailures
	}
	t.evidence = max(0, t.evidence+math.Log(ratio))
}
