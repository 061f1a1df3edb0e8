package promotion

import (
	"fmt"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// advanceServing replaces a primary that has failed or is leaving. Otherwise
// it has the other members follow the primary.
func (m *Manager) advanceServing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	gr.quiesceStartedAt, gr.ordered = 0, false
	if reason := m.primaryFailure(now, g, gr); reason != "" {
		return m.replacePrimary(now, g, gr, reason)
	}
	p, _ := g.Target(g.Primary)
	switch {
	case p.State != types.TargetLeaving:
		gr.leaveAttempts = 0
	case hasActiveReplica(g) && (gr.leaveAttempts == 0 || now.Sub(gr.lastLeaveAttempt) >= leaveRetryInterval):
		gr.leaveAttempts++
		gr.lastLeaveAttempt = now
		return m.propose(now, gr, g.Term, proto.Command{Quiesce: &proto.Quiesce{Service: g.Service, Term: g.Term}})
	}
	out := m.advanceFollowers(now, g, gr)
	out = append(out, m.checkLogs(now, g, gr)...)
	if g.Unconfirmed {
		out = append(out, m.confirmPrimary(now, g, gr)...)
	}
	return out
}

// replacePrimary begins the next term after the primary failed. If primaries
// fail in quick succession, it waits longer each time.
func (m *Manager) replacePrimary(now types.Instant, g *types.Group, gr *group, reason string) []effect.Effect {
	if at := gr.servingSince.Add(gr.backoff(g.Term)); now < at {
		return []effect.Effect{armTimer(g.Service, at)}
	}
	gr.avoided = g.Primary
	return m.beginTerm(now, g, gr, reason)
}

// backoff returns how long the primary of a term is kept after it was chosen,
// whatever the proxies report.
func (gr *group) backoff(term types.Term) time.Duration {
	if gr.quickReplacements < freeReplacements {
		return 0
	}
	limit := maxBackoff
	if gr.provenTerm == term {
		limit = provenBackoff
	}
	backoff := minBackoff
	for range gr.quickReplacements - freeReplacements {
		backoff = min(2*backoff, limit)
	}
	return backoff
}

// hasActiveReplica reports whether any member besides the primary is active.
func hasActiveReplica(g *types.Group) bool {
	for _, t := range g.Members {
		if t.Name != g.Primary && t.State == types.TargetActive {
			return true
		}
	}
	return false
}

// primaryFailure returns why a majority of the proxies that hold a lease
// consider the primary failed, or "" if they don't.
func (m *Manager) primaryFailure(now types.Instant, g *types.Group, gr *group) string {
	var unreachableCount, supersededCount int
	live := m.leases.LiveLeases(now)
	if live == 0 || len(gr.suspicions) < types.Quorum(live) {
		gr.supersededSince = 0
		return ""
	}
	version := m.state.GroupVersion(g.Service)
	for host, s := range gr.suspicions {
		if s.report.Ref.Name != g.Primary || now.Sub(s.receivedAt) > reportMaxAge || !m.leases.LeaseLive(host, now) {
			continue
		}
		switch {
		case unreachable(s.report):
			unreachableCount++
		case s.viewVersion >= version && superseded(s.report.Status, g):
			supersededCount++
		}
	}
	if unreachableCount >= types.Quorum(live) {
		return fmt.Sprintf("%d of %d proxies can't reach the primary", unreachableCount, live)
	}
	if supersededCount < types.Quorum(live) {
		gr.supersededSince = 0
		return ""
	}
	if gr.supersededSince == 0 {
		gr.supersededSince = now
	}
	if now.Sub(gr.supersededSince) < supersededTimeout {
		return ""
	}
	return fmt.Sprintf("%d of %d proxies report that target %s is not the primary of term %d", supersededCount, live, g.Primary, g.Term)
}

// unreachable reports whether a proxy has had no contact with a target, or
// only failures, for longer than the bounds of package probe.
func unreachable(r proto.TargetReport) bool {
	return r.SinceLastContact >= probe.SilentThreshold || r.Failing && r.FailingFor >= probe.FailingThreshold
}

// superseded reports whether a target no longer reports itself as primary of
// the group's term.
func superseded(s types.TargetStatus, g *types.Group) bool {
	return s.Term != g.TargetTerm() || !s.Primary
}

// advanceQuiescing begins the next term when no proxy has work in progress on
// the primary, when quiesceTimeout has passed, or when the primary has failed.
func (m *Manager) advanceQuiescing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if gr.quiesceStartedAt == 0 {
		gr.quiesceStartedAt = now
	}
	deadline := gr.quiesceStartedAt.Add(quiesceTimeout)
	if reason := m.primaryFailure(now, g, gr); reason != "" {
		return m.replacePrimary(now, g, gr, reason)
	}
	if now >= deadline || m.quiesced(now, g) {
		gr.ordered = true
		if m.managed(g) {
			gr.avoided = g.Primary
		}
		return m.beginTerm(now, g, gr, "ordered change of primary")
	}
	return []effect.Effect{armTimer(g.Service, deadline)}
}

// quiesced reports whether every proxy that may hold a lease has reported that
// it has no work in progress on the primary.
func (m *Manager) quiesced(now types.Instant, g *types.Group) bool {
	if !m.leases.Fenced(m.state.GroupVersion(g.Service), now) {
		return false
	}
	for _, h := range m.leases.ProxyLeases() {
		if h.Live && !(h.Known && slices.Contains(h.Request.Quiesced, g.Service)) {
			return false
		}
	}
	return true
}
