package membership

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// removalInEffectAfter is the longest time until every proxy has applied a removal
// or has lost its lease.
const removalInEffectAfter = 5 * time.Second

// vacancy is a free place in a group that has already served. A write may have
// been acknowledged only by the removed member and the primary. A new target
// holds no writes, so it may only join once the other members hold everything
// that was acknowledged while the removed member counted.
type vacancy struct {
	openedAt   types.Instant                     // when the free place was first seen
	floor      types.LogPos                      // position of the primary once the removal was in effect
	floorKnown bool                              // floor is set
	positions  map[types.TargetName]types.LogPos // last position of each member
}

// mayJoin reports whether a new target may take a free place.
func (t *Tracker) mayJoin(g *types.Group) bool {
	if len(g.History) == 0 {
		return true
	}
	v, ok := t.vacancies[g.Service]
	if !ok || !v.floorKnown || g.Phase != types.GroupServing {
		return false
	}
	for _, m := range g.Members {
		if !g.History.Covers(v.positions[m.Name], v.floor) {
			return false
		}
	}
	return true
}

// trackPositions records the reported positions in groups that have a free
// place.
func (t *Tracker) trackPositions(now types.Instant, reports []proto.TargetReport) {
	if !t.role.Leading {
		return
	}
	for _, r := range reports {
		g := t.state.Group(r.Ref.Service)
		if g == nil || len(g.History) == 0 {
			continue
		}
		if len(g.Members) >= t.state.Config().Services[g.Service].Members {
			delete(t.vacancies, g.Service)
			continue
		}
		if !r.Failing && r.Status.Term == g.TargetTerm() {
			t.trackPosition(now, g, r)
		}
	}
}

// trackPosition records a member's position in a group that has a free place,
// and sets the floor once the removal is in effect.
func (t *Tracker) trackPosition(now types.Instant, g *types.Group, r proto.TargetReport) {
	v, ok := t.vacancies[g.Service]
	if !ok {
		v = vacancy{openedAt: now, positions: make(map[types.TargetName]types.LogPos)}
	}
	inEffect := now.Sub(v.openedAt) >= removalInEffectAfter
	if !v.floorKnown && inEffect && r.Ref.Name == g.Primary && r.Status.Primary {
		v.floor, v.floorKnown = r.Status.Pos, true
	}
	if v.floorKnown {
		v.positions[r.Ref.Name] = r.Status.Pos
	}
	t.vacancies[g.Service] = v
}
