package node

import (
	"maps"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// announcements are what targets said to this proxy and control has not
// confirmed yet, the latest of each target.
type announcements struct {
	known   map[types.TargetRef]proto.Announcement // last of each, without age
	pending map[types.TargetRef]pending
}

// pending is an announcement on its way to control.
type pending struct {
	announcement proto.Announcement
	heard        types.Instant
	first        uint64 // number of the first request that carried it, or zero
}

func newAnnouncements() announcements {
	return announcements{
		known:   make(map[types.TargetRef]proto.Announcement),
		pending: make(map[types.TargetRef]pending),
	}
}

// hear takes in an announcement and reports whether it differs from the last
// one of its target.
func (a *announcements) hear(now types.Instant, n proto.Announcement) bool {
	ref := types.TargetRef{Service: n.Service, Name: n.Name}
	a.pending[ref] = pending{announcement: n, heard: now.Add(-n.Age)}
	n.Age = 0
	last, ok := a.known[ref]
	a.known[ref] = n
	return !ok || last != n
}

// next returns what request seq carries, in order of target.
func (a *announcements) next(now types.Instant, seq uint64) []proto.Announcement {
	out := make([]proto.Announcement, 0, len(a.pending))
	for _, ref := range sortedRefs(a.pending) {
		p := a.pending[ref]
		if p.first == 0 {
			p.first = seq
			a.pending[ref] = p
		}
		n := p.announcement
		n.Age = now.Sub(p.heard)
		out = append(out, n)
	}
	return out
}

// granted forgets what the answered request carried.
func (a *announcements) granted(g proto.LeaseGrant) {
	if g.NotLeader {
		return
	}
	maps.DeleteFunc(a.pending, func(_ types.TargetRef, p pending) bool {
		return p.first != 0 && p.first <= g.Seq
	})
}
