package runtime

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// testTimeout is how long a test waits for a goroutine.
const testTimeout = 20 * time.Second

// partFunc adapts a function to a part of a reducer.
type partFunc func(event.Input) []effect.Effect

func (f partFunc) Step(in event.Input) []effect.Effect { return f(in) }

// logFunc adapts a function to a ControlLog.
type logFunc func(effect.Persist) error

func (f logFunc) Persist(p effect.Persist) error { return f(p) }

// noRecorder is a Recorder that drops everything.
type noRecorder struct{}

func (noRecorder) Decision(effect.Decide)         {}
func (noRecorder) Observation(effect.Observation) {}

func zeroSeed() uint64 { return 0 }

func testControlHost(log ControlLog, part partFunc) *ControlHost {
	return NewControlHost(ControlOptions{
		Reducer: core.New(part), Clock: NewClock(), Seed: zeroSeed,
		Log: log, Recorder: noRecorder{},
	})
}

// TestSlowDiskDoesNotBlockTheControlLoop queues more writes and events than the
// channels can hold while the disk does not respond.
func TestSlowDiskDoesNotBlockTheControlLoop(t *testing.T) {
	const writes = 4 * maxControlEvents
	disk := make(chan struct{})
	synced := make(chan struct{})
	last := uint64(0)
	host := testControlHost(
		logFunc(func(effect.Persist) error { <-disk; return nil }),
		func(in event.Input) []effect.Effect {
			switch ev := in.Event.(type) {
			case event.PeerMessage:
				return []effect.Effect{effect.Persist{Seq: ev.Message.LogIndex}}
			case event.Persisted:
				assert.Check(t, ev.Seq == last+1, "synced %d after %d", ev.Seq, last)
				last = ev.Seq
				if last == writes {
					close(synced)
				}
			}
			return nil
		})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	for i := range writes {
		host.HandlePeerMessage(proto.Message{LogIndex: uint64(i) + 1})
	}
	close(disk)
	select {
	case <-synced:
	case <-ctx.Done():
		t.Fatalf("only %d of %d writes were reported as synced", last, writes)
	}
	cancel()
	assert.NilError(t, <-ended)
}

// TestDiskErrorEndsTheControlHost checks that a host that can't sync its log
// stops instead of answering.
func TestDiskErrorEndsTheControlHost(t *testing.T) {
	diskErr := errors.New("no space left")
	host := testControlHost(
		logFunc(func(effect.Persist) error { return diskErr }),
		func(in event.Input) []effect.Effect {
			if _, ok := in.Event.(event.Start); ok {
				return []effect.Effect{effect.Persist{Seq: 1}}
			}
			return nil
		})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.ErrorContains(t, host.Run(ctx), "no space left")
}

// TestWriteIsRetriedWhileTheDiskIsFull checks that a host whose disk is full keeps
// running, and reports the write as synced only once it is on the disk.
func TestWriteIsRetriedWhileTheDiskIsFull(t *testing.T) {
	attempts, written := 0, make(chan int, 1)
	host := testControlHost(
		logFunc(func(effect.Persist) error {
			if attempts++; attempts < 3 {
				return fmt.Errorf("writing: %w", syscall.ENOSPC)
			}
			return nil
		}),
		func(in event.Input) []effect.Effect {
			switch in.Event.(type) {
			case event.Start:
				return []effect.Effect{effect.Persist{Seq: 1}}
			case event.Persisted:
				written <- attempts
			}
			return nil
		})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	select {
	case n := <-written:
		assert.Equal(t, n, 3)
	case err := <-ended:
		t.Fatalf("the host ended: %v", err)
	}
	cancel()
	assert.NilError(t, <-ended)
}

// TestOperatorCallGetsItsOwnReply checks that each call gets its own reply when the
// replies are sent in reverse order.
func TestOperatorCallGetsItsOwnReply(t *testing.T) {
	const calls = 5
	var pending []event.OperatorCalled
	host := testControlHost(logFunc(func(effect.Persist) error { return nil }),
		func(in event.Input) []effect.Effect {
			ev, ok := in.Event.(event.OperatorCalled)
			if !ok {
				return nil
			}
			pending = append(pending, ev)
			if len(pending) < calls {
				return nil
			}
			var out []effect.Effect
			for i := calls - 1; i >= 0; i-- {
				reply := proto.OperatorReply{Reason: string(pending[i].Request.RemoveHost.Host)}
				out = append(out, effect.ReplyOperator{Call: pending[i].Call, Reply: reply})
			}
			return out
		})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go host.Run(ctx)
	results := make(chan bool, calls)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		go func() {
			req := proto.OperatorRequest{RemoveHost: &proto.RemoveHost{Host: types.HostID(name)}}
			rep, err := host.Call(ctx, req)
			results <- err == nil && rep.Reason == string(req.RemoveHost.Host)
		}()
	}
	for range calls {
		assert.Assert(t, <-results, "a call got another call's reply")
	}
}
