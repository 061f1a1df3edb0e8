package node

import (
	"maps"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// announcements holds the latest announcement of each target to this proxy, and
// those that the control hosts haven't confirmed yet.
type announcements struct {
	latest  map[types.TargetRef]proto.Announcement // latest of each target, with Age and Seq zero
	pending map[types.TargetRef]pendingAnnouncement
}

// pendingAnnouncement is an announcement that the control hosts haven't confirmed.
type pendingAnnouncement struct {
	announcement proto.Announcement
	receivedAt   types.Instant
	firstSeq     uint64 // Seq of the first lease request that carried it, or zero
}

func newAnnouncements() announcements {
	return announcements{
		latest:  make(map[types.TargetRef]proto.Announcement),
		pending: make(map[types.TargetRef]pendingAnnouncement),
	}
}

// add records an announcement and reports whether it differs, apart from its age and
// number, from the previous one of its target.
func (a *announcements) add(now types.Instant, n proto.Announcement) bool {
	ref := types.TargetRef{Service: n.Service, Name: n.Name}
	a.pending[ref] = pendingAnnouncement{announcement: n, receivedAt: now.Add(-n.Age)}
	n.Age, n.Seq = 0, 0
	last, ok := a.latest[ref]
	a.latest[ref] = n
	return !ok || last != n
}

// forRequest returns the announcements for the lease request with number seq, in order
// of target.
func (a *announcements) forRequest(now types.Instant, seq uint64) []proto.Announcement {
	out := make([]proto.Announcement, 0, len(a.pending))
	for _, ref := range sortedRefs(a.pending) {
		p := a.pending[ref]
		if p.firstSeq == 0 {
			p.firstSeq = seq
			a.pending[ref] = p
		}
		n := p.announcement
		n.Age = now.Sub(p.receivedAt)
		out = append(out, n)
	}
	return out
}

// confirm removes the announcements that the request answered by g, or one before it,
// was the first to carry.
func (a *announcements) confirm(g proto.LeaseGrant) {
	if g.NotLeader {
		return
	}
	maps.DeleteFunc(a.pending, func(_ types.TargetRef, p pendingAnnouncement) bool {
		return p.firstSeq != 0 && p.firstSeq <= g.Seq
	})
}
