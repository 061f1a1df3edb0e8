package membership

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// inForceAfter is how long a removal takes at most until every proxy acts on
// it or has lost its lease.
const inForceAfter = 5 * time.Second

// place is a free place in a group that has served already. A write may have
// been acknowledged by the member that was removed together with the primary,
// so that a new target, which holds nothing, may only join once the others
// hold all that was acknowledged while the removed one still counted.
type place struct {
	since  types.Instant                     // when the place was seen first
	floor  types.LogPos                      // position of the primary after the removal was in force
	read   bool                              // floor is known
	caught map[types.TargetName]types.LogPos // last position of each member
}

// mayJoin reports whether a new target may take a free place.
func (k *Tracker) mayJoin(g *types.Group) bool {
	if len(g.History) == 0 {
		return true
	}
	p, ok := k.places[g.Service]
	if !ok || !p.read || g.Phase != types.GroupServing {
		return false
	}
	for _, m := range g.Members {
		if !g.History.Covers(p.caught[m.Name], p.floor) {
			return false
		}
	}
	return true
}

// readReports follows the positions in groups that have a free place.
func (k *Tracker) readReports(now types.Instant, reports []proto.TargetReport) {
	if !k.role.Leading {
		return
	}
	for _, r := range reports {
		g := k.state.Group(r.Ref.Service)
		if g == nil || len(g.History) == 0 {
			continue
		}
		if len(g.Members) >= k.state.Config().Services[g.Service].Members {
			delete(k.places, g.Service)
			continue
		}
		if !r.Failing && r.Status.Term == g.TargetTerm() {
			k.readPosition(now, g, r)
		}
	}
}

func (k *Tracker) readPosition(now types.Instant, g *types.Group, r proto.TargetReport) {
	p, ok := k.places[g.Service]
	if !ok {
		p = place{since: now, caught: make(map[types.TargetName]types.LogPos)}
	}
	inForce := now.Sub(p.since) >= inForceAfter
	if !p.read && inForce && r.Ref.Name == g.Primary && r.Status.Primary {
		p.floor, p.read = r.Status.Pos, true
	}
	if p.read {
		p.caught[r.Ref.Name] = r.Status.Pos
	}
	k.places[g.Service] = p
}
