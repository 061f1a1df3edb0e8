package node

import (
	"maps"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// demandWindow is how long an earlier, larger demand is still reported after it fell, so
// that a short drop doesn't move the share to another proxy and back.
const demandWindow = time.Second

// demandHistory holds how many connections of each target the shards could use now and
// recently.
type demandHistory struct {
	current map[types.TargetRef]int
	past    map[types.TargetRef]pastDemand
}

// pastDemand is a larger demand that lasted until an instant.
type pastDemand struct {
	count int
	until types.Instant
}

// set sets the present demand of the shards.
func (l *demandHistory) set(demand map[types.TargetRef]int, now types.Instant) {
	if l.past == nil {
		l.past = make(map[types.TargetRef]pastDemand)
	}
	for ref, count := range l.current {
		old := l.past[ref]
		if demand[ref] < count && (count >= old.count || now.Sub(old.until) >= demandWindow) {
			l.past[ref] = pastDemand{count: count, until: now}
		}
	}
	l.current = demand
}

// peaks returns the largest demand for each target within demandWindow.
func (l *demandHistory) peaks(now types.Instant) map[types.TargetRef]int {
	out := maps.Clone(l.current)
	if out == nil {
		out = make(map[types.TargetRef]int)
	}
	for ref, f := range l.past {
		if now.Sub(f.until) < demandWindow {
			out[ref] = max(out[ref], f.count)
		}
	}
	return out
}
