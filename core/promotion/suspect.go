package promotion

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// suspicion is a proxy's last report of a primary that is unreachable or
// superseded.
type suspicion struct {
	report      proto.TargetReport
	viewVersion uint64        // version of the proxy's view
	receivedAt  types.Instant // when the report arrived
}

// handleReports handles the reports of a proxy and advances the affected
// groups: those that the proxy suspects or suspected before, and those that
// wait for proxies.
func (m *Manager) handleReports(now types.Instant, r proto.LeaseRequest) []effect.Effect {
	if !m.role.Leading {
		return nil
	}
	affected := maps.Clone(m.quiescing)
	m.addFenced(now, affected)
	for _, report := range r.Reports {
		g := m.state.Group(report.Ref.Service)
		if g == nil || g.Phase == types.GroupForming {
			continue
		}
		if report.Ref.Name != g.Primary {
			if m.noteOutOfTerm(now, g, r, report) {
				affected[g.Service] = true
			}
			continue
		}
		if m.updateSuspicion(now, g, r, report) {
			affected[g.Service] = true
		}
	}
	return m.advanceEach(now, slices.Sorted(maps.Keys(affected)))
}

// addFenced adds the groups that waited for a version of the view that has been fenced
// since the last call.
func (m *Manager) addFenced(now types.Instant, affected map[types.ServiceName]bool) {
	if len(m.fencing) == 0 {
		return
	}
	version := m.leases.FencedVersion(now)
	if version == m.fencedVersion {
		return
	}
	m.fencedVersion = version
	for name, awaited := range m.fencing {
		if awaited <= version {
			affected[name] = true
		}
	}
}

// updateSuspicion records or removes a proxy's suspicion of a primary. It
// reports whether there was one before or is one now.
func (m *Manager) updateSuspicion(now types.Instant, g *types.Group, r proto.LeaseRequest, report proto.TargetReport) bool {
	gr := m.group(g.Service)
	if report.Failing {
		m.failing[g.Service] = now
	}
	_, hadSuspicion := gr.suspicions[r.Proxy]
	if !report.Failing && !superseded(report.Status, g) {
		gr.provenTerm = g.Term
	}
	if !unreachable(report) && (report.Failing || !superseded(report.Status, g)) {
		delete(gr.suspicions, r.Proxy)
		return hadSuspicion
	}
	if gr.suspicions == nil {
		gr.suspicions = make(map[types.HostID]suspicion)
	}
	gr.suspicions[r.Proxy] = suspicion{report: report, viewVersion: r.ViewVersion, receivedAt: now}
	return true
}

// Suspects returns the managed services whose primary fails for some proxy, in order. The
// other proxies probe it, so that a majority of them need not notice by themselves.
func (m *Manager) Suspects(now types.Instant) []types.ServiceName {
	var out []types.ServiceName
	for name, at := range m.failing {
		g := m.state.Group(name)
		switch {
		case g == nil || now.Sub(at) > reportMaxAge:
			delete(m.failing, name)
		case m.managed(g) && g.Phase == types.GroupServing:
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// noteOutOfTerm checks whether a proxy saw a member out of term, and reports
// whether the member has to be told to follow.
func (m *Manager) noteOutOfTerm(now types.Instant, g *types.Group, r proto.LeaseRequest, report proto.TargetReport) bool {
	outOfTerm := report.Status.Term != g.TargetTerm() || report.Status.Primary
	if !outOfTerm || report.Failing || r.ViewVersion < m.state.GroupVersion(g.Service) {
		return false
	}
	f := m.group(g.Service).follower(report.Ref.Name)
	if f.lastContact == 0 || now.Sub(f.lastContact) >= reportMaxAge {
		f.pending = true
	}
	return f.pending
}
