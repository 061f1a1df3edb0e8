package limits

import (
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// use is what one proxy may use of one target, as far as the leader knows.
type use struct {
	held   int // by its last request
	wanted int
	open   []granted // grants that may still count
}

// granted is a share that a proxy may have taken, or may take yet.
type granted struct {
	seq         uint64 // of the grant
	connections int
	until       types.Instant // the proxy can't take it later
}

// report takes in the proxy's last request. Grants up to the one that it took
// no longer count.
func (u *use) report(h proto.ShareHeld, taken uint64, now types.Instant) {
	u.held, u.wanted = h.Share.Connections, h.Wanted
	open := u.open[:0]
	for _, g := range u.open {
		if g.seq > taken && now < g.until {
			open = append(open, g)
		}
	}
	u.open = open
}

// most returns the most connections that the proxy may hold or come to hold.
func (u *use) most(now types.Instant) int {
	most := u.held
	for _, g := range u.open {
		if now < g.until {
			most = max(most, g.connections)
		}
	}
	return most
}

// bound returns the most connections that a proxy may hold. One that this
// leader has not heard may hold all of them.
func bound(h lease.ProxyLease, u *use, total int, now types.Instant) int {
	switch {
	case !h.Live:
		return 0
	case u == nil:
		return total
	}
	return u.most(now)
}
