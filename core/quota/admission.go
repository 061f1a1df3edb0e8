package quota

import (
	"math"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Verdict says what happens to an operation.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	Wait             // control may have a right for the operation
	Refused          // the limit is used up
)

// spentRetry is when a caller may come back whose proxy has no right that will be free.
const spentRetry = time.Second

// refusedWindow is the length of the intervals in which refusals are counted.
const refusedWindow = 500 * time.Millisecond

// Admission admits the operations of organisations in one of the shards of a proxy.
type Admission struct {
	shards, index int
	organisations map[types.OrganisationName]*organisation
}

// organisation is what one shard knows of an organisation.
type organisation struct {
	history
	waiting      int
	refused      int // within the interval that began at refusedSince
	refusedSince types.Instant
}

// NewAdmission returns the admission of the shard with an index among the given number of
// shards.
func NewAdmission(shards, index int) *Admission {
	return &Admission{
		shards: max(1, shards), index: index,
		organisations: make(map[types.OrganisationName]*organisation),
	}
}

// Admit decides about an operation of an organisation, and records it if it may begin now.
func (a *Admission) Admit(view *types.NodeView, name types.OrganisationName, now types.Instant) Verdict {
	limit, ok := limitIn(view, name)
	if !ok {
		return Admitted
	}
	o := a.organisation(name)
	o.expire(now)
	if o.count < a.part(view, name, limit, now) {
		o.add(now, limit.Period)
		return Admitted
	}
	if now < view.Quotas[name].SpentUntil {
		return Refused
	}
	return Wait
}

// Charge records another run of an operation that was admitted before.
func (a *Admission) Charge(view *types.NodeView, name types.OrganisationName, now types.Instant) {
	if limit, ok := limitIn(view, name); ok {
		a.organisation(name).add(now, limit.Period)
	}
}

// limitIn returns the limit of an organisation in a view, or false if it has none.
func limitIn(view *types.NodeView, name types.OrganisationName) (Limit, bool) {
	config := view.Cluster.Config
	o, ok := config.Organisations[name]
	if !ok {
		return Limit{}, false
	}
	return LimitOf(o, config.QuotaWindow)
}

// SetWaiting records how many operations of an organisation wait for a right.
func (a *Admission) SetWaiting(name types.OrganisationName, count int) {
	a.organisation(name).waiting = count
}

// Refuse records that an operation was refused. It returns how long it takes until a
// right of this shard is free again.
func (a *Admission) Refuse(name types.OrganisationName, now types.Instant) time.Duration {
	o := a.organisation(name)
	if now.Sub(o.refusedSince) >= refusedWindow {
		o.refused, o.refusedSince = 0, now
	}
	o.refused++
	if at := o.nextFree(); at > now {
		return at.Sub(now)
	}
	return spentRetry
}

// NextFree returns when a right of this shard that is used now is free again, or the largest
// instant if none is used.
func (a *Admission) NextFree(name types.OrganisationName, now types.Instant) types.Instant {
	o := a.organisation(name)
	o.expire(now)
	if at := o.nextFree(); at != 0 {
		return at
	}
	return math.MaxInt64
}

// Uses returns what the shard uses and lacks of the limits of organisations.
func (a *Admission) Uses(now types.Instant) map[types.OrganisationName]event.QuotaUse {
	var out map[types.OrganisationName]event.QuotaUse
	for name, o := range a.organisations {
		o.expire(now)
		if now.Sub(o.refusedSince) >= refusedWindow {
			o.refused = 0
		}
		use := event.QuotaUse{Used: o.count, Waiting: o.waiting, Refused: o.refused}
		if use == (event.QuotaUse{}) {
			delete(a.organisations, name)
			continue
		}
		if out == nil {
			out = make(map[types.OrganisationName]event.QuotaUse)
		}
		out[name] = use
	}
	return out
}

// part returns the rights of this shard. Those of a view beyond a lower limit no longer
// count.
func (a *Admission) part(view *types.NodeView, name types.OrganisationName, limit Limit, now types.Instant) int {
	if now >= PartsUntil(view.LeaseUntil) {
		return 0
	}
	proxy := min(view.Quotas[name].Rights, limit.Rights)
	return capacity.EvenPart(proxy, a.shards, a.index)
}

// organisation returns the state of an organisation, and creates it if there is none.
func (a *Admission) organisation(name types.OrganisationName) *organisation {
	o := a.organisations[name]
	if o == nil {
		o = &organisation{}
		a.organisations[name] = o
	}
	return o
}
