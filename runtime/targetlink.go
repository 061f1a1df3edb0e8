package runtime

import (
	"context"
	"errors"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/gravitational/trace"
)

// targetLink is a traffic connection to a target. Its goroutine dials the target
// and then runs one exchange at a time.
type targetLink struct {
	shard  *shard
	jobs   chan effect.SendTarget
	cancel context.CancelFunc
}

func openTargetLink(s *shard, e effect.DialTarget) *targetLink {
	ctx, cancel := context.WithCancel(s.proxy.ctx)
	l := &targetLink{shard: s, jobs: make(chan effect.SendTarget, 1), cancel: cancel}
	go l.run(ctx, e)
	return l
}

// send queues an exchange. The reducer never has two in flight, so the channel has
// capacity; if it has none, the connection is closed.
func (l *targetLink) send(e effect.SendTarget) {
	select {
	case l.jobs <- e:
	default:
		l.close()
	}
}

// close ends the connection and cancels an exchange in progress.
func (l *targetLink) close() { l.cancel() }

func (l *targetLink) run(ctx context.Context, e effect.DialTarget) {
	conn, err := l.dial(ctx, e)
	l.post(ctx, event.TargetConnected{Conn: e.Conn, Err: err, Full: errors.Is(err, ErrTargetFull)})
	if err != nil {
		return
	}
	defer conn.Close()
	for {
		select {
		case job := <-l.jobs:
			l.exchange(ctx, conn, job)
		case <-ctx.Done():
			return
		}
	}
}

func (l *targetLink) dial(ctx context.Context, e effect.DialTarget) (TargetConn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	return dialTarget(ctx, l.shard.proxy.Targets, e.Ref, e.Address, e.Organisation)
}

func (l *targetLink) exchange(ctx context.Context, conn TargetConn, job effect.SendTarget) {
	if job.Deadline != 0 && l.shard.proxy.Clock() >= job.Deadline {
		l.post(ctx, event.TargetAnswered{
			Conn: job.Conn, Seq: job.Seq, Err: trace.LimitExceeded("the lease ended before the request was sent"),
		})
		return
	}
	startedAt := time.Now()
	results, sent, err := exchangeWith(ctx, conn, job.Operations)
	l.post(ctx, event.TargetAnswered{
		Conn: job.Conn, Seq: job.Seq, Sent: sent, Err: err,
		Results: results, Latency: time.Since(startedAt),
	})
}

// post posts an event to the shard unless the connection was closed: the reducer
// keeps no state of a closed connection.
func (l *targetLink) post(ctx context.Context, ev event.Event) {
	if ctx.Err() == nil {
		l.shard.loop.post(ev)
	}
}
