package limits

import (
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// usage is the part of one target's connections that one proxy may use, as far as
// the leader knows.
type usage struct {
	held   int // connections by the proxy's last request
	demand int
	grants []grant // that the proxy may have applied or may still apply
}

// grant is a granted share of connections.
type grant struct {
	seq         uint64 // of the lease grant
	connections int
	until       types.Instant // the proxy can not apply it later
}

// update applies the proxy's last request. Grants up to sharesSeq, the last one whose
// shares the proxy applied, no longer count.
func (u *usage) update(h proto.ShareHeld, sharesSeq uint64, now types.Instant) {
	u.held, u.demand = clampCount(h.Share.Connections), clampCount(h.Demand)
	grants := u.grants[:0]
	for _, g := range u.grants {
		if g.seq > sharesSeq && now < g.until {
			grants = append(grants, g)
		}
	}
	u.grants = grants
}

// maxCount bounds the connections that a proxy can report, far above what targets accept.
const maxCount = 1 << 20

func clampCount(n int) int { return min(max(n, 0), maxCount) }

// maxHeld returns the upper bound of the connections that the proxy holds or can
// still be entitled to.
func (u *usage) maxHeld(now types.Instant) int {
	upper := u.held
	for _, g := range u.grants {
		if now < g.until {
			upper = max(upper, g.connections)
		}
	}
	return upper
}

// maxHeld returns the upper bound of the connections that a proxy may hold. A
// proxy that has sent no request to this leader may hold the whole total.
func maxHeld(h lease.ProxyLease, u *usage, total int, now types.Instant) int {
	switch {
	case !h.Live:
		return 0
	case u == nil:
		return total
	}
	return u.maxHeld(now)
}
