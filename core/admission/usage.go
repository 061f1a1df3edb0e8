package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	rates     rates
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
	if part >= 1 || len(u.uses) == 0 {
		return 1
	}
	if u.rates.madeAt != u.updatedAt {
		u.rates = u.newRates()
	}
	r, ok := u.rates.byName[organisation]
	if !ok || r.now == 0 {
		return 1
	}
	return min(1, max(leastPart, u.rates.commonMultiple(part)*r.entitled/r.now))
}

// rates is what the organisations send, as of madeAt: up to ageInterval ago.
type rates struct {
	madeAt  types.Instant
	byName  map[types.OrganisationName]rate
	ordered []rate // by excess
	all     float64
}

// rate is what one organisation sends now and what it is entitled to: what it usually sends,
// at least the mean. Both are in operations a second.
type rate struct {
	now, entitled float64
	nowBefore     float64 // sum of those with a smaller excess
	entitledFrom  float64 // sum of this one and those with a larger excess
}

func (r rate) excess() float64 { return r.now / r.entitled }

// newRates computes the rates from the uses.
func (u *Usage) newRates() rates {
	lived := u.updatedAt.Sub(u.startedAt) + time.Second
	names := slices.Sorted(maps.Keys(u.uses))
	var mean float64
	for _, name := range names {
		mean += u.uses[name].usual / averagedSeconds(lived, usualUse) / float64(len(names))
	}
	out := rates{madeAt: u.updatedAt, byName: make(map[types.OrganisationName]rate, len(names)), ordered: make([]rate, 0, len(names))}
	for _, name := range names {
		s := u.uses[name]
		r := rate{now: s.recent / averagedSeconds(lived, recentUse), entitled: max(mean, s.usual/averagedSeconds(lived, usualUse))}
		out.byName[name] = r
		out.ordered = append(out.ordered, r)
	}
	slices.SortFunc(out.ordered, func(a, b rate) int { return cmp.Compare(a.excess(), b.excess()) })
	for i := range out.ordered {
		out.ordered[i].nowBefore = out.all
		out.all += out.ordered[i].now
	}
	var entitled float64
	for i := len(out.ordered) - 1; i >= 0; i-- {
		entitled += out.ordered[i].entitled
		out.ordered[i].entitledFrom = entitled
	}
	return out
}

// averagedSeconds returns over how many seconds an average of the given time constant goes
// after some time.
func averagedSeconds(lived, constant time.Duration) float64 {
	return constant.Seconds() * (1 - left(lived, constant))
}

// commonMultiple returns the multiple of what each organisation is entitled to up to which
// its operations are admitted, so that the given part of all is.
func (r rates) commonMultiple(part float64) float64 {
	admitted := part * r.all
	i, _ := slices.BinarySearchFunc(r.ordered, admitted, func(o rate, admitted float64) int {
		return cmp.Compare(o.nowBefore+o.excess()*o.entitledFrom, admitted)
	})
	o := r.ordered[min(i, len(r.ordered)-1)]
	return (admitted - o.nowBefore) / o.entitledFrom
}
