package node

import (
	"maps"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// wantedWindow is how long the number of wanted connections is still reported after it
// fell, so that a short drop in demand doesn't move the share to another proxy and back.
const wantedWindow = time.Second

// wantedHistory holds how many connections of each target the shards want, and how many
// they wanted recently.
type wantedHistory struct {
	current map[types.TargetRef]int
	past    map[types.TargetRef]pastWanted
}

// pastWanted is a larger number of connections that was wanted until an instant.
type pastWanted struct {
	count int
	until types.Instant
}

// set sets the numbers of connections that the shards want now.
func (l *wantedHistory) set(wanted map[types.TargetRef]int, now types.Instant) {
	if l.past == nil {
		l.past = make(map[types.TargetRef]pastWanted)
	}
	for ref, count := range l.current {
		old := l.past[ref]
		if wanted[ref] < count && (count >= old.count || now.Sub(old.until) >= wantedWindow) {
			l.past[ref] = pastWanted{count: count, until: now}
		}
	}
	l.current = wanted
}

// peaks returns the largest number of connections of each target that was wanted within
// wantedWindow.
func (l *wantedHistory) peaks(now types.Instant) map[types.TargetRef]int {
	out := maps.Clone(l.current)
	if out == nil {
		out = make(map[types.TargetRef]int)
	}
	for ref, f := range l.past {
		if now.Sub(f.until) < wantedWindow {
			out[ref] = max(out[ref], f.count)
		}
	}
	return out
}
