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

// reconnectDelay is the delay between two attempts to connect to the leader.
const reconnectDelay = 50 * time.Millisecond

// replicationParameter is the startup parameter that marks a replication
// connection.
const replicationParameter = "paddle.replication"

// follower replicates the log of a leader. The loop starts and stops it.
type follower struct {
	loop     *loop
	lag      atomic.Int64 // replication delay in nanoseconds
	cancel   context.CancelFunc
	requests chan requestStream
}

func newFollower(l *loop, lag time.Duration) *follower {
	f := &follower{loop: l, cancel: func() {}}
	f.lag.Store(int64(lag))
	return f
}

// start starts replication from a leader and stops any earlier one.
func (f *follower) start(ctx context.Context, e startFollower) {
	f.cancel()
	ctx, f.cancel = context.WithCancel(ctx)
	f.requests = make(chan requestStream, 1)
	go f.run(ctx, e, f.requests)
}

func (f *follower) stop() { f.cancel() }

// submitRequest passes the stream request to the goroutine that reported the
// connection to the leader and waits for it.
func (f *follower) submitRequest(e requestStream) {
	select {
	case f.requests <- e:
	default:
	}
}

// run replicates from the leader until ctx ends, and reconnects after a failure.
func (f *follower) run(ctx context.Context, e startFollower, requests <-chan requestStream) {
	for ctx.Err() == nil {
		err := f.stream(ctx, e, requests)
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

// stream reads one replication stream until it ends.
func (f *follower) stream(ctx context.Context, e startFollower, requests <-chan requestStream) error {
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
	if err := f.sendRequest(ctx, frontend, e.leaderChanges, requests); err != nil {
		return trace.Wrap(err)
	}
	for {
		batch, err := receiveBatch(frontend)
		if err != nil {
			return trace.Wrap(err)
		}
		f.deliver(ctx, e.leaderChanges, batch)
	}
}

// connect sends the startup message and waits until the leader is ready.
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

// sendRequest requests the entries that are missing in the member's log.
func (f *follower) sendRequest(ctx context.Context, frontend *pgproto3.Frontend, leaderChanges uint64, requests <-chan requestStream) error {
	f.loop.post(leaderConnected{leaderChanges: leaderChanges})
	select {
	case r := <-requests:
		sql := fmt.Sprintf("PADDLE STREAM TERM %d RUNS '%s'", r.term, formatTermEnds(r.termEnds))
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
				return batch, trace.BadParameter("message of the replication stream has %d fields, want 1", len(m.Values))
			}
			return batch, trace.Wrap(json.Unmarshal(m.Values[0], &batch))
		case *pgproto3.ErrorResponse:
			return batch, trace.Errorf("%s: %s", m.Code, m.Message)
		}
	}
}

// deliver passes entries to the loop as soon as they are as old as the
// replication delay.
func (f *follower) deliver(ctx context.Context, leaderChanges uint64, batch streamBatch) {
	if batch.Truncate != nil {
		f.loop.post(entriesReceived{leaderChanges: leaderChanges, truncate: batch.Truncate})
	}
	for len(batch.Entries) > 0 {
		lag := f.lag.Load()
		n := dueEntries(batch.Entries, time.Now().UnixNano()-lag)
		if n > 0 {
			f.loop.post(entriesReceived{leaderChanges: leaderChanges, entries: batch.Entries[:n]})
			batch.Entries = batch.Entries[n:]
			continue
		}
		f.wait(ctx, time.Duration(batch.Entries[0].Written+lag-time.Now().UnixNano()))
		if ctx.Err() != nil {
			return
		}
	}
}

// dueEntries returns the number of leading entries that were written at the given
// time or earlier.
func dueEntries(entries []entry, latest int64) int {
	n := 0
	for n < len(entries) && entries[n].Written <= latest {
		n++
	}
	return n
}
