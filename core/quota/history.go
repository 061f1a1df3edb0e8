package quota

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// granularity is the unit in which instants are counted, rounded up. It bounds the
	// entries of a history.
	granularity = 10 * time.Millisecond
	// driftDivisor is the part of a period by which it is counted longer, since the clock
	// of a proxy may be faster than others.
	driftDivisor = 100
)

// history counts the rights that are used: those of the operations that began within
// the period.
type history struct {
	entries []used // in order of until
	count   int
}

// used is a number of rights that are free again at an instant.
type used struct {
	until types.Instant
	count int
}

// add records that an operation begins.
func (h *history) add(now types.Instant, period time.Duration) {
	until := (now + types.Instant(granularity) - 1) / types.Instant(granularity) * types.Instant(granularity)
	until = until.Add(period + period/driftDivisor)
	h.count++
	if last := len(h.entries) - 1; last >= 0 && h.entries[last].until >= until {
		h.entries[last].count++
		return
	}
	h.entries = append(h.entries, used{until: until, count: 1})
}

// expire removes the operations that began before the period.
func (h *history) expire(now types.Instant) {
	n := 0
	for n < len(h.entries) && h.entries[n].until <= now {
		h.count -= h.entries[n].count
		n++
	}
	h.entries = h.entries[n:]
}

// nextFree returns when the next right is free again, or zero if none is used.
func (h *history) nextFree() types.Instant {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[0].until
}
