package node

import (
	"maps"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// wantWindow is how long a wish for connections is kept up after it fell, so
// that a short lull doesn't move the share to another proxy and back.
const wantWindow = time.Second

// wantLog remembers what the shards want of each target, and what they wanted
// lately.
type wantLog struct {
	current map[types.TargetRef]int
	fallen  map[types.TargetRef]fallenWant
}

// fallenWant is a larger number that was wanted until an instant.
type fallenWant struct {
	count int
	until types.Instant
}

// set takes in what the shards want now.
func (l *wantLog) set(wants map[types.TargetRef]int, now types.Instant) {
	if l.fallen == nil {
		l.fallen = make(map[types.TargetRef]fallenWant)
	}
	for ref, count := range l.current {
		old := l.fallen[ref]
		if wants[ref] < count && (count >= old.count || now.Sub(old.until) >= wantWindow) {
			l.fallen[ref] = fallenWant{count: count, until: now}
		}
	}
	l.current = wants
}

// peaks returns the most that was wanted of each target within the window.
func (l *wantLog) peaks(now types.Instant) map[types.TargetRef]int {
	out := maps.Clone(l.current)
	if out == nil {
		out = make(map[types.TargetRef]int)
	}
	for ref, f := range l.fallen {
		if now.Sub(f.until) < wantWindow {
			out[ref] = max(out[ref], f.count)
		}
	}
	return out
}
