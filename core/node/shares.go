package node

import (
	"maps"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// shareSettle is how long a shard may still act on the shares of an earlier
// view after a new one was published.
const shareSettle = 50 * time.Millisecond

// shareLog remembers the shares that shards may still act on.
type shareLog struct {
	current map[types.TargetRef]types.Share
	past    []pastShares
}

// pastShares are shares that were replaced at an instant.
type pastShares struct {
	shares map[types.TargetRef]types.Share
	at     types.Instant
}

// set takes in the current shares and reports whether they changed.
func (l *shareLog) set(shares map[types.TargetRef]types.Share, now types.Instant) bool {
	if maps.Equal(l.current, shares) {
		return false
	}
	l.past = append(l.past, pastShares{shares: l.current, at: now})
	l.current = shares
	return true
}

// most returns the largest share of each target that a shard may act on.
func (l *shareLog) most(now types.Instant) map[types.TargetRef]types.Share {
	for len(l.past) > 0 && now.Sub(l.past[0].at) >= shareSettle {
		l.past = l.past[1:]
	}
	out := make(map[types.TargetRef]types.Share)
	raise(out, l.current)
	for _, p := range l.past {
		raise(out, p.shares)
	}
	return out
}

func raise(most, shares map[types.TargetRef]types.Share) {
	for ref, s := range shares {
		m := most[ref]
		most[ref] = types.Share{Connections: max(m.Connections, s.Connections), Slots: max(m.Slots, s.Slots)}
	}
}
