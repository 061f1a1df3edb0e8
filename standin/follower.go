package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"
)

// reconnectDelay is the time between two attempts to reach the leader.
const reconnectDelay = 50 * time.Millisecond

// replicationParameter marks the connection of a follower.
const replicationParameter = "paddle.replication"

// follower reads the log of a leader. The loop starts and stops it.
type follower struct {
	loop   *loop
	lag    atomic.Int64 // delay of replication, in nanoseconds
	cancel context.CancelFunc
	asks   chan askStream
}

func newFollower(l *loop, lag time.Duration) *follower {
	f := &follower{loop: l, cancel: func() {}}
	f.lag.Store(int64(lag))
	return f
}

// start follows a leader in place of any other.
func (f *follower) start(ctx context.Context, e follow) {
	f.cancel()
	ctx, f.cancel = context.WithCancel(ctx)
	f.asks = make(chan askStream, 1)
	go f.run(ctx, e, f.asks)
}

func (f *follower) stop() { f.cancel() }

// ask hands over what to ask the leader for. Its goroutine asked for it.
func (f *follower) ask(e askStream) {
	select {
	case f.asks <- e:
	default:
	}
}

// run reads from the leader, again after each failure, until ctx ends.
func (f *follower) run(ctx context.Context, e follow, asks <-chan askStream) {
	for ctx.Err() == nil {
		err := f.stream(ctx, e, asks)
		klog.V(2).InfoS("replication stream ended", "leader", e.address, "err", err)
		f.wait(ctx, reconnectDelay)
	}
}

func (f *follower) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stream reads one stream to its end.
func (f *follower) stream(ctx context.Context, e follow, asks <-chan askStream) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	if err := connect(frontend); err != nil {
		return trace.Wrap(err)
	}
	if err := f.request(ctx, frontend, e.epoch, asks); err != nil {
		return trace.Wrap(err)
	}
	for {
		batch, err := receiveBatch(frontend)
		if err != nil {
			return trace.Wrap(err)
		}
		f.deliver(ctx, e.epoch, batch)
	}
}

// connect completes the startup.
func connect(frontend *pgproto3.Frontend) error {
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replica", replicationParameter: "on"},
	})
	if err := frontend.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return trace.Errorf("%s: %s", m.Code, m.Message)
		}
	}
}

// request asks for the stream from where the member's log ends.
func (f *follower) request(ctx context.Context, frontend *pgproto3.Frontend, epoch uint64, asks <-chan askStream) error {
	f.loop.post(followerConnected{epoch: epoch})
	select {
	case ask := <-asks:
		sql := fmt.Sprintf("PADDLE STREAM TERM %d RUNS '%s'", ask.term, formatRuns(ask.runs))
		frontend.Send(&pgproto3.Query{String: sql})
		return trace.Wrap(frontend.Flush())
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func receiveBatch(frontend *pgproto3.Frontend) (streamBatch, error) {
	var batch streamBatch
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return batch, trace.Wrap(err)
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) != 1 {
				return batch, trace.BadParameter("a message of the stream has %d fields", len(m.Values))
			}
			return batch, trace.Wrap(json.Unmarshal(m.Values[0], &batch))
		case *pgproto3.ErrorResponse:
			return batch, trace.Errorf("%s: %s", m.Code, m.Message)
		}
	}
}

// deliver hands over entries, each once it is as old as the lag.
func (f *follower) deliver(ctx context.Context, epoch uint64, batch streamBatch) {
	if batch.Truncate != nil {
		f.loop.post(entriesReceived{epoch: epoch, truncate: batch.Truncate})
	}
	for len(batch.Entries) > 0 {
		lag := f.lag.Load()
		n := dueEntries(batch.Entries, time.Now().UnixNano()-lag)
		if n > 0 {
			f.loop.post(entriesReceived{epoch: epoch, entries: batch.Entries[:n]})
			batch.Entries = batch.Entries[n:]
			continue
		}
		f.wait(ctx, time.Duration(batch.Entries[0].Written+lag-time.Now().UnixNano()))
		if ctx.Err() != nil {
			return
		}
	}
}

// dueEntries returns how many entries were written by the given time.
func dueEntries(entries []entry, written int64) int {
	n := 0
	for n < len(entries) && entries[n].Written <= written {
		n++
	}
	return n
}
