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

// driveServing watches the primary, and has the other members follow it.
func (m *Manager) driveServing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	gr.quiesced, gr.ordered = 0, false
	if reason := m.failed(now, g, gr); reason != "" {
		return m.replace(now, g, gr, reason)
	}
	p, _ := g.Target(g.Primary)
	switch {
	case p.State != types.TargetLeaving:
		gr.moves = 0
	case canMove(g) && (gr.moves == 0 || now.Sub(gr.movedAt) >= moveInterval):
		gr.moves++
		gr.movedAt = now
		return m.propose(now, gr, g.Term, proto.Command{Quiesce: &proto.Quiesce{Service: g.Service, Term: g.Term}})
	}
	return m.driveFollowers(now, g, gr)
}

// replace begins the term after a failed primary. When primaries fail one
// after the other, it waits longer each time.
func (m *Manager) replace(now types.Instant, g *types.Group, gr *group, reason string) []effect.Effect {
	if at := gr.servedAt.Add(gr.backoff(g.Term)); now < at {
		return []effect.Effect{arm(g.Service, at)}
	}
	gr.avoid = g.Primary
	return m.beginTerm(now, g, gr, reason)
}

// backoff returns how long the primary of a term is kept after its choice,
// whatever the proxies report.
func (gr *group) backoff(term types.Term) time.Duration {
	if gr.quick < freeReplacements {
		return 0
	}
	limit := maxBackoff
	if gr.proven == term {
		limit = provenBackoff
	}
	backoff := minBackoff
	for range gr.quick - freeReplacements {
		backoff = min(2*backoff, limit)
	}
	return backoff
}

// canMove reports whether some other member is active.
func canMove(g *types.Group) bool {
	for _, t := range g.Members {
		if t.Name != g.Primary && t.State == types.TargetActive {
			return true
		}
	}
	return false
}

// failed returns why the primary has failed in the eyes of a majority of the
// proxies that hold a lease, or "".
func (m *Manager) failed(now types.Instant, g *types.Group, gr *group) string {
	var gone, demoted int
	live := m.leases.LiveLeases(now)
	version := m.state.GroupVersion(g.Service)
	for host, s := range gr.suspicions {
		if s.report.Ref.Name != g.Primary || now.Sub(s.heard) > reportBound || !m.leases.LeaseLive(host, now) {
			continue
		}
		switch {
		case unreachable(s.report):
			gone++
		case s.have >= version && disowned(s.report.Status, g):
			demoted++
		}
	}
	if live > 0 && gone >= types.Quorum(live) {
		return fmt.Sprintf("%d of %d proxies can't reach the primary", gone, live)
	}
	if live == 0 || demoted < types.Quorum(live) {
		gr.demoted = 0
		return ""
	}
	if gr.demoted == 0 {
		gr.demoted = now
	}
	if now.Sub(gr.demoted) < demoteAfter {
		return ""
	}
	return fmt.Sprintf("%d of %d proxies hear that the primary is none in this term", demoted, live)
}

func unreachable(r proto.TargetReport) bool {
	return r.HeardAgo >= probe.SilentThreshold || r.Failing && r.FailingFor >= probe.FailingThreshold
}

// disowned reports whether a member says that it is not the primary of the
// group's term.
func disowned(s types.TargetStatus, g *types.Group) bool {
	return s.Term != g.TargetTerm() || !s.Primary
}

// driveQuiescing begins the next term once no proxy has work under way on the
// primary, or the time is up, or the primary has failed.
func (m *Manager) driveQuiescing(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	if gr.quiesced == 0 {
		gr.quiesced = now
	}
	end := gr.quiesced.Add(quiesceBound)
	if reason := m.failed(now, g, gr); reason != "" {
		return m.replace(now, g, gr, reason)
	}
	if now >= end || m.quiet(now, g) {
		gr.ordered = true
		if m.managed(g) {
			gr.avoid = g.Primary
		}
		return m.beginTerm(now, g, gr, "ordered change of primary")
	}
	return []effect.Effect{arm(g.Service, end)}
}

// quiet reports whether every proxy that may hold a lease has said that it has
// no work under way on the primary.
func (m *Manager) quiet(now types.Instant, g *types.Group) bool {
	if !m.leases.Fenced(m.state.GroupVersion(g.Service), now) {
		return false
	}
	for _, h := range m.leases.ProxyLeases() {
		if h.Live && !(h.Known && slices.Contains(h.Request.Quiet, g.Service)) {
			return false
		}
	}
	return true
}
