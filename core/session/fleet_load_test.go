package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// This file holds what a fleet's load and members may do beside the usual.

// surge is a span of time in which the arrival rates are multiplied.
type surge struct {
	at, duration time.Duration
	factor       float64
}

// factorAt returns by what the arrival rates are multiplied.
func (s surge) factorAt(at types.Instant) float64 {
	since := at.Sub(types.Instant(time.Second).Add(s.at))
	if s.duration > 0 && since >= 0 && since < s.duration {
		return s.factor
	}
	return 1
}

// slowness is a span of time in which members take longer.
type slowness struct {
	member       types.TargetName // all if empty
	at, duration time.Duration    // for the rest of the load without a duration
	factor       float64
}

// applies reports whether a member is slow.
func (s slowness) applies(m *fleetMember, now types.Instant) bool {
	since := now.Sub(types.Instant(time.Second).Add(s.at))
	return s.at > 0 && since >= 0 && (s.duration == 0 || since < s.duration) && (s.member == "" || s.member == m.name)
}

// partialFailure is a span of time in which a member fails part of the statements.
type partialFailure struct {
	member       types.TargetName
	at, duration time.Duration
	part         float64
	mute         bool                 // it gives no answer, instead of an error
	proxies      func(proxy int) bool // whose statements it fails; all if not set
}

// applies reports whether a member fails a part of the statements of a proxy now.
func (g partialFailure) applies(m *fleetMember, proxy int, now types.Instant) bool {
	since := now.Sub(types.Instant(time.Second).Add(g.at))
	return g.member == m.name && since >= 0 && since < g.duration && (g.proxies == nil || g.proxies(proxy))
}

// secondCount counts the operations that arrived within one second.
type secondCount struct{ sent, inTime int }

// second returns the counts of the second in which an operation arrived.
func (c *requestClass) second(arrived types.Instant) *secondCount {
	i := int(arrived.Sub(types.Instant(time.Second)) / time.Second)
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, secondCount{})
	}
	return &c.seconds[i]
}

// loadFactor returns by what the arrival rates are multiplied now.
func (f *fleet) loadFactor() float64 {
	factor := f.config.surge.factorAt(f.now)
	if o := f.config.organisations; o.hot {
		return 1 + (factor-1)/float64(o.names)
	}
	return factor
}

// drawOrganisation draws the organisation of a caller.
func (f *fleet) drawOrganisation() int {
	o := f.config.organisations
	if !o.hot {
		return o.draw(f.rand)
	}
	others := float64(o.names - 1)
	if f.rand.Float64()*(others+f.config.surge.factorAt(f.now)) >= others {
		return 0
	}
	return 1 + f.rand.IntN(o.names-1)
}

// countOrganisation counts an operation that arrived during the surge.
func (f *fleet) countOrganisation(caller *fleetCaller, count func(*secondCount)) {
	if f.config.surge.factorAt(caller.arrived) != 1 {
		count(&caller.class.byOrganisation[min(1, caller.organisation)])
	}
}
