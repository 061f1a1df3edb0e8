package runtime

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxShardEvents is how many events may wait for one shard's loop.
const maxShardEvents = 4096

// shard runs the traffic reducer of one shard and executes its effects.
type shard struct {
	proxy *Proxy
	index int
	loop  *loop
	conns map[types.ConnID]*targetLink // owned by the loop's goroutine

	sessions sync.Map // types.SessionID to *Session

	// lastReport holds the latest report that was not forwarded yet. A new report
	// replaces it, so that the control loop gets the latest one and never blocks
	// the shard.
	lastReport chan event.ShardReport
}

func newShard(p *Proxy, index int) *shard {
	s := &shard{
		proxy:      p,
		index:      index,
		conns:      make(map[types.ConnID]*targetLink),
		lastReport: make(chan event.ShardReport, 1),
	}
	s.loop = newLoop(loopOptions{
		reducer: p.Shard(index), executor: s, clock: p.Clock, seed: p.Seed,
		view: p.view.Load, maxEvents: maxShardEvents,
	})
	return s
}

func (s *shard) run(ctx context.Context) {
	s.loop.run(ctx)
	for _, c := range s.conns {
		c.close()
	}
	s.sessions.Range(func(_, value any) bool {
		value.(*Session).end(types.Refusal{Code: types.RefuseDraining, Reason: "the proxy has stopped"})
		return true
	})
}

// forwardReports posts the shard's reports to the control loop.
func (s *shard) forwardReports(ctx context.Context) {
	for {
		select {
		case r := <-s.lastReport:
			s.proxy.loop.post(event.ShardReported{Report: r})
		case <-ctx.Done():
			return
		}
	}
}

func (s *shard) execute(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		s.conns[e.Conn] = openTargetLink(s, e)
	case effect.SendTarget:
		if c, ok := s.conns[e.Conn]; ok {
			c.send(e)
		}
	case effect.CloseConn:
		if c, ok := s.conns[e.Conn]; ok {
			delete(s.conns, e.Conn)
			c.close()
		}
	case effect.AnswerCaller:
		s.withSession(e.Session, func(c *Session) { c.answer(e) })
	case effect.RefuseCaller:
		s.withSession(e.Session, func(c *Session) { c.refuse(e) })
	case effect.EndSession:
		s.withSession(e.Session, func(c *Session) { c.end(e.Refusal) })
	case effect.ReportShard:
		s.report(e.Report)
	case effect.Decide:
		s.proxy.Recorder.Decision(e)
	case effect.Observe:
		s.proxy.Recorder.Observation(e.Observation)
	}
}

func (s *shard) withSession(id types.SessionID, do func(*Session)) {
	if c, ok := s.sessions.Load(id); ok {
		do(c.(*Session))
	}
}

// report replaces the report that waits to be forwarded. The shard is the only
// sender on the channel, so that the send after the receive never blocks.
func (s *shard) report(r event.ShardReport) {
	r.Shard = s.index
	if rec, ok := s.proxy.Recorder.(ShardRecorder); ok {
		rec.ShardReport(r)
	}
	select {
	case <-s.lastReport:
	default:
	}
	s.lastReport <- r
}
