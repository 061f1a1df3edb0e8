package session

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// reportInterval bounds how often reports go out that control does not wait
// for.
const reportInterval = 20 * time.Millisecond

// reporter keeps what control was told last.
type reporter struct {
	last  event.ShardReport
	sent  bool
	armed bool // a timer for the next report is set
	due   bool // it fired
	busy  int
}

func (p *reporter) timerFired() { p.armed, p.due = false, true }

// track brings the counts of busy sessions and of work on the primary up to
// date with a session.
func (s *Shard) track(c *session) {
	busy := c.request != nil || c.inTransaction()
	if busy != c.busy {
		c.busy = busy
		s.reports.busy += sign(busy)
	}
	writing := c.inTransaction() && !c.onReplica
	if r := c.request; r != nil && r.writes() {
		writing = writing || r.stage == stageRunning || r.stage == stageDurable
	}
	if writing != c.writing {
		c.writing = writing
		s.services[c.service].writing += sign(writing)
	}
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// untrack takes a session out of the counts.
func (s *Shard) untrack(c *session) {
	c.request, c.conn = nil, nil
	s.track(c)
}

// report tells control what changed: at once when control may wait for it,
// otherwise with the next interval.
func (s *Shard) report() {
	r := s.currentReport()
	p := &s.reports
	switch {
	case p.sent && sameReport(r, p.last):
		return
	case !p.sent, p.due, s.urgent(r, p.last):
		p.last, p.sent, p.due = r, true, false
		s.emit(effect.ReportShard{Report: r})
	case !p.armed:
		p.armed = true
		s.emit(effect.ArmTimer{ID: event.TimerID{Domain: event.DomainDrain}, At: s.now.Add(reportInterval)})
	}
}

func (s *Shard) currentReport() event.ShardReport {
	r := event.ShardReport{
		Shard: s.options.Index, Sessions: len(s.sessions), Busy: s.reports.busy,
		Wanted: make(map[types.TargetRef]int), Open: make(map[types.TargetRef]int),
	}
	if s.view != nil && s.view.Cluster != nil {
		r.Seen = s.view.Cluster.Version
	}
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		if len(svc.waiting) > 0 {
			r.Waiting = append(r.Waiting, name)
		}
		if svc.writing > 0 {
			r.Writing = append(r.Writing, name)
		}
		s.countConns(svc, r)
	}
	return r
}

// countConns adds the connections that the service holds and could use.
func (s *Shard) countConns(svc *service, r event.ShardReport) {
	waiting := s.waitingFor(svc)
	for name, t := range svc.targets {
		if open := t.pool.Open(); open > 0 {
			r.Open[t.pool.Ref] = open
		}
		if wanted := t.pool.Taken() + waiting[name]; wanted > 0 {
			r.Wanted[t.pool.Ref] = wanted
		}
	}
}

// urgent reports whether control may wait for what changed from last to r.
func (s *Shard) urgent(r, last event.ShardReport) bool {
	switch {
	case r.Seen != last.Seen, gained(last.Waiting, r.Waiting):
		return true
	case s.draining && (r.Sessions == 0 || r.Busy == 0):
		return true
	}
	for _, name := range last.Writing {
		g := s.view.Group(name)
		if g != nil && g.Phase != types.GroupServing && !slices.Contains(r.Writing, name) {
			return true
		}
	}
	return false
}

// gained reports whether now holds a name that before did not.
func gained(before, now []types.ServiceName) bool {
	return slices.ContainsFunc(now, func(n types.ServiceName) bool { return !slices.Contains(before, n) })
}

func sameReport(a, b event.ShardReport) bool {
	return a.Seen == b.Seen && a.Sessions == b.Sessions && a.Busy == b.Busy &&
		slices.Equal(a.Waiting, b.Waiting) && slices.Equal(a.Writing, b.Writing) &&
		maps.Equal(a.Wanted, b.Wanted) && maps.Equal(a.Open, b.Open)
}
