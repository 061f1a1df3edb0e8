package promotion

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// suspicion is what a proxy last reported of a primary that is not as it
// should be.
type suspicion struct {
	report proto.TargetReport
	have   uint64        // version of the view that the proxy held
	heard  types.Instant // when the report came
}

// reported takes in what a proxy reports and drives the groups that it
// concerns: those that it suspects or suspected, and those that wait for
// proxies.
func (m *Manager) reported(now types.Instant, r proto.LeaseRequest) []effect.Effect {
	if !m.role.Leading {
		return nil
	}
	concerned := maps.Clone(m.waiting)
	for _, report := range r.Reports {
		g := m.state.Group(report.Ref.Service)
		if g == nil || g.Phase == types.GroupForming {
			continue
		}
		if report.Ref.Name != g.Primary {
			if m.noticeStray(now, g, r, report) {
				concerned[g.Service] = true
			}
			continue
		}
		if m.suspect(now, g, r, report) {
			concerned[g.Service] = true
		}
	}
	return m.driveEach(now, slices.Sorted(maps.Keys(concerned)))
}

// suspect keeps or forgets the suspicion of one proxy against a primary, and
// reports whether there was one before or is one now.
func (m *Manager) suspect(now types.Instant, g *types.Group, r proto.LeaseRequest, report proto.TargetReport) bool {
	gr := m.group(g.Service)
	_, before := gr.suspicions[r.Proxy]
	if !report.Failing && !disowned(report.Status, g) {
		gr.proven = g.Term
	}
	if !unreachable(report) && (report.Failing || !disowned(report.Status, g)) {
		delete(gr.suspicions, r.Proxy)
		return before
	}
	if gr.suspicions == nil {
		gr.suspicions = make(map[types.HostID]suspicion)
	}
	gr.suspicions[r.Proxy] = suspicion{report: report, have: r.Have, heard: now}
	return true
}

// noticeStray finds a member that a proxy saw outside of the group's term, and
// reports whether it has to be asked to follow.
func (m *Manager) noticeStray(now types.Instant, g *types.Group, r proto.LeaseRequest, report proto.TargetReport) bool {
	stray := report.Status.Term != g.TargetTerm() || report.Status.Primary
	if !stray || report.Failing || r.Have < m.state.GroupVersion(g.Service) {
		return false
	}
	f := m.group(g.Service).follower(report.Ref.Name)
	if f.askedAt == 0 || now.Sub(f.askedAt) >= reportBound {
		f.open = true
	}
	return f.open
}
