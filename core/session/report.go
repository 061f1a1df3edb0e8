package session

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// reportInterval is the shortest time between two reports that are not urgent.
const reportInterval = 20 * time.Millisecond

// reporter holds the shard's last report to the proxy's control goroutine and
// decides when to send the next.
type reporter struct {
	last  event.ShardReport
	sent  bool
	armed bool // a timer for the next report is set
	due   bool // the timer has fired

	urgent bool // the control goroutine may be waiting for the next report
	busy   int  // sessions with a request or a transaction
}

func (p *reporter) timerFired() { p.armed, p.due = false, true }

// updateCounts updates the counts of busy sessions and of sessions with a write
// or a transaction on the primary after a session has changed.
func (s *Shard) updateCounts(c *session) {
	busy := c.request != nil || c.inTransaction()
	if busy != c.busy {
		c.busy = busy
		s.reports.busy += countDelta(busy)
	}
	writing := c.inTransaction() && !c.onReplica
	if r := c.request; r != nil && r.writes() {
		writing = writing || r.stage == stageRunning || r.stage == stageDurable
	}
	if writing != c.writing {
		c.writing = writing
		svc := s.services[c.service]
		svc.writing += countDelta(writing)
		s.reportQuiesced(svc)
	}
}

// countDelta returns by how much a count changes when a session starts or
// stops meeting its condition.
func countDelta(holds bool) int {
	if holds {
		return 1
	}
	return -1
}

// removeFromCounts removes a session that ends from the counts.
func (s *Shard) removeFromCounts(c *session) {
	c.request, c.conn = nil, nil
	s.updateCounts(c)
}

// report sends a changed report to the control goroutine: immediately if the
// control goroutine may be waiting for it, otherwise once reportInterval has
// passed.
func (s *Shard) report() {
	p := &s.reports
	if p.sent && !p.due && !p.urgent && !s.draining && s.viewVersion() == p.last.AppliedVersion {
		s.reportLater()
		return
	}
	p.due, p.urgent = false, false
	r := s.currentReport()
	if p.sent && sameReport(r, p.last) {
		return
	}
	p.last, p.sent = r, true
	s.emit(effect.ReportShard{Report: r})
}

// reportLater arms the timer of the next report. The timer belongs to
// event.DomainDrain, which a shard uses for nothing else.
func (s *Shard) reportLater() {
	if s.reports.armed {
		return
	}
	s.reports.armed = true
	s.emit(effect.ArmTimer{ID: event.TimerID{Domain: event.DomainDrain}, At: s.now.Add(reportInterval)})
}

// reportWaiting makes the next report urgent if the control goroutine does not
// know yet that the service waits for positions.
func (s *Shard) reportWaiting(name types.ServiceName) {
	if !slices.Contains(s.reports.last.WaitingServices, name) {
		s.reports.urgent = true
	}
}

// reportQuiesced makes the next report urgent if the service's last write has
// ended while its primary is being changed, since the change may wait for that.
func (s *Shard) reportQuiesced(svc *service) {
	if g := s.view.Group(svc.name); svc.writing == 0 && g != nil && g.Phase != types.GroupServing {
		s.reports.urgent = true
	}
}

// viewVersion returns the version of the view that the shard has applied.
func (s *Shard) viewVersion() uint64 {
	if s.view == nil || s.view.Cluster == nil {
		return 0
	}
	return s.view.Cluster.Version
}

func (s *Shard) currentReport() event.ShardReport {
	r := event.ShardReport{
		Shard: s.options.Index, Sessions: len(s.sessions), BusySessions: s.reports.busy,
		AppliedVersion: s.viewVersion(),
		Demand:         make(map[types.TargetRef]int), Connections: make(map[types.TargetRef]int),
		Full:        make(map[types.TargetRef]bool),
		SilentSince: make(map[types.ServiceName]types.Instant), AnsweredAt: make(map[types.TargetRef]types.Instant),
		QuotaUse:   s.quotas.Uses(s.now),
		ConnCounts: make(map[types.TargetRef]types.ConnCounts),
	}
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		if len(svc.waiting) > 0 && !svc.managed(s.view) {
			r.WaitingServices = append(r.WaitingServices, name)
		}
		if s.now < svc.suspectUntil {
			r.SuspectServices = append(r.SuspectServices, name)
		}
		if at := svc.primaryAnsweredAt(); at != 0 {
			r.AnsweredAt[types.TargetRef{Service: name, Name: svc.primary.name}] = at
		}
		if since, ok := svc.silence.silentSince(s.now); ok {
			r.SilentSince[name] = since
		}
		if svc.writing > 0 {
			r.WritingServices = append(r.WritingServices, name)
		}
		s.countConns(svc, r)
	}
	return r
}

// countConns adds the connections that the service holds and those that it
// needs.
func (s *Shard) countConns(svc *service, r event.ShardReport) {
	waiting := s.queuedPerTarget(svc)
	for name, t := range svc.targets {
		if open := t.pool.Open(); open > 0 {
			r.Connections[t.pool.Ref] = open
		}
		if counts := t.pool.Counts(); counts != (types.ConnCounts{}) {
			r.ConnCounts[t.pool.Ref] = counts
		}
		if t.pool.Full(s.now) {
			r.Full[t.pool.Ref] = true
		}
		if demand := t.pool.InUse() + waiting[name]; demand > 0 {
			r.Demand[t.pool.Ref] = demand
		}
	}
}

// sameReport compares reports without AnsweredAt, which changes with every answer, and
// ConnCounts. These are sent along with other changes only.
func sameReport(a, b event.ShardReport) bool {
	return a.AppliedVersion == b.AppliedVersion && a.Sessions == b.Sessions && a.BusySessions == b.BusySessions &&
		slices.Equal(a.WaitingServices, b.WaitingServices) && slices.Equal(a.SuspectServices, b.SuspectServices) && slices.Equal(a.WritingServices, b.WritingServices) &&
		maps.Equal(a.SilentSince, b.SilentSince) && maps.Equal(a.Demand, b.Demand) && maps.Equal(a.Connections, b.Connections) && maps.Equal(a.Full, b.Full) &&
		maps.Equal(a.QuotaUse, b.QuotaUse)
}
