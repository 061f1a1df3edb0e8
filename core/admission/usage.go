package admission

import (
	"math"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// recentUse and usualUse are the time constants over which the use of an organisation
	// now and its usual use are averaged.
	recentUse = 3 * time.Second
	usualUse  = time.Minute
	// leastPart is the part that every organisation gets.
	leastPart = 0.01
	// ageInterval is the time after which earlier operations count less.
	ageInterval = 100 * time.Millisecond
	// forgottenUse is the use, in operations of recentUse, below which an organisation
	// without a usual use is forgotten.
	forgottenUse = 0.01
)

// Usage knows how many operations each organisation sends to a proxy, and how many it usually
// sends.
type Usage struct {
	uses      map[types.OrganisationName]*use
	startedAt types.Instant
	updatedAt types.Instant
}

// use is the number of operations of one organisation, each weighed by its age.
type use struct{ recent, usual float64 }

// Add counts one operation.
func (u *Usage) Add(organisation types.OrganisationName, now types.Instant) {
	if u.uses == nil {
		u.uses, u.startedAt, u.updatedAt = make(map[types.OrganisationName]*use), now, now
	}
	u.age(now)
	s := u.uses[organisation]
	if s == nil {
		s = &use{}
		u.uses[organisation] = s
	}
	s.recent++
	s.usual++
}

// age lowers the weight of earlier operations.
func (u *Usage) age(now types.Instant) {
	elapsed := now.Sub(u.updatedAt)
	if elapsed < ageInterval {
		return
	}
	u.updatedAt = now
	recent, usual := left(elapsed, recentUse), left(elapsed, usualUse)
	for name, s := range u.uses {
		s.recent *= recent
		s.usual *= usual
		if s.usual < forgottenUse {
			delete(u.uses, name)
		}
	}
}

func left(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}

// Part returns the part of an organisation's operations to admit if the given part of all
// operations is admitted. Those that send more than usual give way first: each is admitted
// up to the same multiple of its usual use, or of the mean usual use if that is more.
func (u *Usage) Part(organisation types.OrganisationName, part float64) float64 {
	s := u.uses[organisation]
	if s == nil || part >= 1 {
		return 1
	}
	entitled, rates := u.entitlements()
	rate := rates[organisation]
	if rate == 0 {
		return 1
	}
	return min(1, max(leastPart, commonMultiple(entitled, rates, part)*entitled[organisation]/rate))
}

// entitlements returns what each organisation usually sends, at least the mean, and what it
// sends now, in operations a second.
func (u *Usage) entitlements() (entitled, rates map[types.OrganisationName]float64) {
	entitled = make(map[types.OrganisationName]float64, len(u.uses))
	rates = make(map[types.OrganisationName]float64, len(u.uses))
	lived := u.updatedAt.Sub(u.startedAt) + time.Second
	var mean float64
	for name, s := range u.uses {
		rates[name] = s.recent / averagedSeconds(lived, recentUse)
		entitled[name] = s.usual / averagedSeconds(lived, usualUse)
		mean += entitled[name] / float64(len(u.uses))
	}
	for name := range entitled {
		entitled[name] = max(entitled[name], mean)
	}
	return entitled, rates
}

// averagedSeconds returns over how many seconds an average of the given time constant goes
// after some time.
func averagedSeconds(lived, constant time.Duration) float64 {
	return constant.Seconds() * (1 - left(lived, constant))
}

// commonMultiple returns the multiple of what each organisation is entitled to up to which
// its operations are admitted, so that the given part of all is.
func commonMultiple(entitled, rates map[types.OrganisationName]float64, part float64) float64 {
	var all, highest float64
	for name, rate := range rates {
		all += rate
		highest = max(highest, rate/entitled[name])
	}
	const steps = 20 // of the bisection
	low, high := 0.0, highest
	for range steps {
		middle := (low + high) / 2
		var admitted float64
		for name, rate := range rates {
			admitted += min(rate, middle*entitled[name])
		}
		if admitted < part*all {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
