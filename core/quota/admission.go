package quota

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Admission admits the operations of organisations in one of the shards of a proxy.
type Admission struct {
	shards, index int
	organisations map[types.OrganisationName]*history
}

// NewAdmission returns the admission of the shard with an index among the given number of
// shards.
func NewAdmission(shards, index int) *Admission {
	return &Admission{
		shards: max(1, shards), index: index,
		organisations: make(map[types.OrganisationName]*history),
	}
}

// Admit reports whether an operation of an organisation may begin now, and records it if
// so.
func (a *Admission) Admit(view *types.NodeView, name types.OrganisationName, now types.Instant) bool {
	config := view.Cluster.Config
	o, ok := config.Organisations[name]
	if !ok || !Limited(o) {
		return true
	}
	window := Window(config)
	h := a.history(name)
	h.expire(now)
	if h.count >= a.part(view, o, window) {
		return false
	}
	h.add(now, window)
	return true
}

// Charge records another run of an operation that was admitted before.
func (a *Admission) Charge(view *types.NodeView, name types.OrganisationName, now types.Instant) {
	config := view.Cluster.Config
	if o, ok := config.Organisations[name]; ok && Limited(o) {
		a.history(name).add(now, Window(config))
	}
}

// RetryAfter returns how long it takes until a right of the organisation that this shard
// has used is free again.
func (a *Admission) RetryAfter(view *types.NodeView, name types.OrganisationName, now types.Instant) time.Duration {
	if at := a.history(name).nextFree(); at > now {
		return at.Sub(now)
	}
	return Window(view.Cluster.Config)
}

// part returns the rights of this shard.
func (a *Admission) part(view *types.NodeView, o types.Organisation, window time.Duration) int {
	if view.Fleet.Proxies == 0 {
		return 0
	}
	proxy := capacity.EvenPart(Rights(o, window), view.Fleet.Proxies, view.Fleet.Index)
	return capacity.EvenPart(proxy, a.shards, a.index)
}

// history returns the operations of an organisation, and creates the record if there is
// none.
func (a *Admission) history(name types.OrganisationName) *history {
	h := a.organisations[name]
	if h == nil {
		h = &history{}
		a.organisations[name] = h
	}
	return h
}
