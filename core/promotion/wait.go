package promotion

import (
	"fmt"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Timing of the reports of what an attempt waits for.
const (
	// firstWaitReport is how long an attempt waits until the first report.
	firstWaitReport = 250 * time.Millisecond
	// waitReportInterval is the time between two reports.
	waitReportInterval = time.Second
)

// nextWaitReportAt returns when it is reported next what the attempt waits for.
func (a *attempt) nextWaitReportAt() types.Instant {
	if a.waitReportedAt == 0 {
		return a.startedAt.Add(firstWaitReport)
	}
	return a.waitReportedAt.Add(waitReportInterval)
}

// reportWait records what an attempt waits for, if it has waited long enough.
func (a *attempt) reportWait(now types.Instant, g *types.Group, reason func() string) []effect.Effect {
	if now < a.nextWaitReportAt() {
		return nil
	}
	a.waitReportedAt = now
	return []effect.Effect{effect.Decide{
		Kind: effect.DecidePromotionWaits, Service: g.Service, Term: g.Term, Reason: reason(),
	}}
}

// unfencedProxies says which proxies may still use an earlier term.
func (m *Manager) unfencedProxies(now types.Instant, a *attempt) string {
	waiting := m.leases.Unfenced(a.viewVersion, now)
	if len(waiting) == 0 {
		return "the proxies have just confirmed the term"
	}
	return fmt.Sprintf("%d proxies have not confirmed the term, among them %s", len(waiting), waiting[0])
}

// missingPositions says whose positions an attempt waits for, and why they are missing.
func (m *Manager) missingPositions(g *types.Group, a *attempt) string {
	var missing []string
	for _, t := range g.Members {
		if _, ok := a.statuses[t.Name]; ok {
			continue
		}
		text := string(t.Name)
		if failure := a.failures[t.Name]; failure != "" {
			text += " (" + failure + ")"
		}
		missing = append(missing, text)
	}
	switch {
	case len(missing) > 0:
		return fmt.Sprintf("%d of %d targets have not reported a position: %s", len(missing), len(g.Members), strings.Join(missing, ", "))
	case a.ordered:
		return "a replica has to reach the position of the primary"
	}
	return "a primary may still announce itself"
}

// failureOf says why a call to a target failed.
func failureOf(e event.TargetReplied) string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return fmt.Sprintf("answered %s", e.Result.Err)
}
