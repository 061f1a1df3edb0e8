package node

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// replacedShareWindow is how long a shard may still use replaced shares after a view
// with new ones was published.
const replacedShareWindow = 50 * time.Millisecond

// shareHistory holds the shares that shards may still use.
type shareHistory struct {
	current  map[types.TargetRef]types.Share
	replaced []replacedShares
}

// replacedShares are shares that are no longer current.
type replacedShares struct {
	shares     map[types.TargetRef]types.Share
	replacedAt types.Instant
}

// set replaces the current shares.
func (l *shareHistory) set(shares map[types.TargetRef]types.Share, now types.Instant) {
	l.replaced = append(l.replaced, replacedShares{shares: l.current, replacedAt: now})
	l.current = shares
}

// largest returns the largest share of each target that a shard may use.
func (l *shareHistory) largest(now types.Instant) map[types.TargetRef]types.Share {
	for len(l.replaced) > 0 && now.Sub(l.replaced[0].replacedAt) >= replacedShareWindow {
		l.replaced = l.replaced[1:]
	}
	out := make(map[types.TargetRef]types.Share)
	raiseTo(out, l.current)
	for _, p := range l.replaced {
		raiseTo(out, p.shares)
	}
	return out
}

// raiseTo sets each entry of largest to the maximum of itself and the entry of shares.
func raiseTo(largest, shares map[types.TargetRef]types.Share) {
	for ref, s := range shares {
		m := largest[ref]
		largest[ref] = types.Share{Connections: max(m.Connections, s.Connections), Slots: max(m.Slots, s.Slots)}
	}
}
