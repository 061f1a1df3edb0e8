package operator

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// reportMaxAge is how long a proxy's report is shown. Proxies repeat a report without
// news every 3 s.
const reportMaxAge = 10 * time.Second

// receivedReport is a proxy's report of a target.
type receivedReport struct {
	report      proto.TargetReport
	lastContact types.Instant // on this host's clock
	receivedAt  types.Instant
}

// recordReports keeps, for each target, the report with the latest contact.
func (h *Handler) recordReports(now types.Instant, reports []proto.TargetReport) {
	for _, r := range reports {
		lastContact := now.Add(-r.SinceLastContact)
		if old, ok := h.reports[r.Ref]; ok && old.lastContact > lastContact && now.Sub(old.receivedAt) < reportMaxAge {
			continue
		}
		h.reports[r.Ref] = receivedReport{report: r, lastContact: lastContact, receivedAt: now}
	}
}

// targetReports returns the current report of each member of the groups, and forgets
// those of other targets.
func (h *Handler) targetReports(now types.Instant, groups []*types.Group) []proto.TargetReport {
	var out []proto.TargetReport
	kept := make(map[types.TargetRef]receivedReport)
	for _, g := range groups {
		for _, t := range g.Members {
			ref := types.TargetRef{Service: g.Service, Name: t.Name}
			r, ok := h.reports[ref]
			if !ok || now.Sub(r.receivedAt) >= reportMaxAge {
				continue
			}
			kept[ref] = r
			r.report.SinceLastContact = now.Sub(r.lastContact)
			out = append(out, r.report)
		}
	}
	h.reports = kept
	return out
}
