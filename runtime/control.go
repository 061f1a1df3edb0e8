package runtime

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// controlQueue is how many events may wait for a control loop.
const controlQueue = 1024

// ControlOptions configures a ControlHost.
type ControlOptions struct {
	Reducer  *core.Reducer
	Clock    Clock
	Seed     func() uint64
	Peers    Peers
	Proxies  Proxies
	Log      ControlLog
	Targets  TargetDialer
	Recorder Recorder
}

// ControlHost drives the reducer of a control host.
type ControlHost struct {
	ControlOptions
	loop  *loop
	disk  *diskQueue
	calls *targetCalls
	ctx   context.Context // ends with Run; target calls use it

	lastCall atomic.Uint64
	waiting  sync.Map // call number to chan proto.OperatorReply
}

// NewControlHost returns a control host that Run starts.
func NewControlHost(o ControlOptions) *ControlHost {
	h := &ControlHost{
		ControlOptions: o,
		disk:           newDiskQueue(),
		calls:          newTargetCalls(o.Targets),
	}
	h.loop = newLoop(loopOptions{
		reducer: o.Reducer, exec: h, clock: o.Clock, seed: o.Seed,
		queue: controlQueue, thread: true,
	})
	return h
}

// Run steps the reducer until ctx ends or the log can't be written.
func (h *ControlHost) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h.ctx = ctx
	written := make(chan error, 1)
	go func() {
		err := h.writeLog(ctx)
		cancel(err)
		written <- err
	}()
	h.loop.run(ctx)
	return <-written
}

// writeLog syncs what the reducer appends, in order. It returns when ctx ends
// or with the first error.
func (h *ControlHost) writeLog(ctx context.Context) error {
	for {
		batch := h.disk.take(ctx)
		if batch == nil {
			return nil
		}
		for _, p := range batch {
			if err := h.persist(ctx, p); err != nil {
				return trace.Wrap(err, "writing the control log")
			}
			if ctx.Err() != nil {
				return nil
			}
			h.loop.post(event.Persisted{Seq: p.Seq})
		}
	}
}

// fullDiskPause is the time between two tries to write to a full disk. Chosen:
// short against the 6 s within which changes have to be in force.
const fullDiskPause = 100 * time.Millisecond

// persist writes to the log. While the disk is full it tries again until ctx ends:
// what depends on the write is held back, and the other hosts go on without it.
func (h *ControlHost) persist(ctx context.Context, p effect.Persist) error {
	for full := false; ; full = true {
		err := h.Log.Persist(p)
		switch {
		case !errors.Is(err, syscall.ENOSPC):
			if full && err == nil {
				klog.InfoS("control_log_written", "seq", p.Seq, "reason", "the disk has room again")
			}
			return err
		case !full:
			klog.ErrorS(nil, "control_log_waits", "seq", p.Seq, "reason", "the disk is full")
		}
		select {
		case <-time.After(fullDiskPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// PeerMessage hands over a message from another control host.
func (h *ControlHost) PeerMessage(m proto.Message) { h.loop.post(event.PeerMessage{Message: m}) }

// LeaseRequest hands over a request of a proxy.
func (h *ControlHost) LeaseRequest(r proto.LeaseRequest) {
	h.loop.post(event.LeaseRequested{Request: r})
}

// Call hands over an operator's call and waits for its reply.
func (h *ControlHost) Call(ctx context.Context, r proto.OperatorRequest) (proto.OperatorReply, error) {
	call := h.lastCall.Add(1)
	reply := make(chan proto.OperatorReply, 1)
	h.waiting.Store(call, reply)
	defer h.waiting.Delete(call)
	if !h.loop.post(event.OperatorCalled{Call: call, Request: r}) {
		return proto.OperatorReply{}, trace.ConnectionProblem(nil, "this control host has stopped")
	}
	select {
	case rep := <-reply:
		return rep, nil
	case <-ctx.Done():
		return proto.OperatorReply{}, trace.Wrap(ctx.Err(), "waiting for the control host's reply")
	case <-h.loop.done:
		return proto.OperatorReply{}, trace.ConnectionProblem(nil, "this control host has stopped")
	}
}

func (h *ControlHost) execute(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.SendPeer:
		h.Peers.Send(e.Message)
	case effect.UpdateControlHosts:
		h.Peers.Know(e.Addresses)
	case effect.Persist:
		h.disk.add(e)
	case effect.GrantLease:
		h.Proxies.Grant(e.Grant)
	case effect.ReplyOperator:
		h.reply(e)
	case effect.CallTarget:
		h.callTarget(e)
	case effect.Decide:
		h.Recorder.Decision(e)
	}
}

func (h *ControlHost) reply(e effect.ReplyOperator) {
	if ch, ok := h.waiting.LoadAndDelete(e.Call); ok {
		ch.(chan proto.OperatorReply) <- e.Reply
	}
}

func (h *ControlHost) callTarget(e effect.CallTarget) {
	ref := types.TargetRef{Service: e.Service, Name: e.Target.Name}
	h.calls.do(h.ctx, targetKey{ref, e.Target.Address}, targetJob{
		operation: e.Operation, timeout: e.Timeout,
		done: func(r types.Result, err error) {
			h.loop.post(event.TargetReplied{Call: e.Call, Err: err, Result: r})
		},
	})
}
