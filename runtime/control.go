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
	"github.com/camphorpaddle/camphorpaddle/internal/contain"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// maxControlEvents is how many events may wait for a control loop.
const maxControlEvents = 1024

// maxWaitingCalls is how many calls of operators and targets may wait for a control loop.
// More are refused at once: their senders turn to another control host, or call again.
const maxWaitingCalls = 512

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

// ControlHost runs the reducer of a control host and executes its effects.
type ControlHost struct {
	ControlOptions
	loop     *loop
	writes   *diskQueue
	requests *leaseQueue
	calls    chan event.Event
	targets  *targetCalls
	ctx      context.Context // ends with Run; target calls use it

	lastCall     atomic.Uint64
	pendingCalls sync.Map // call number to chan proto.OperatorReply
}

// NewControlHost returns a control host that does nothing before Run.
func NewControlHost(o ControlOptions) *ControlHost {
	h := &ControlHost{
		ControlOptions: o,
		writes:         newDiskQueue(),
		requests:       newLeaseQueue(),
		calls:          make(chan event.Event, maxWaitingCalls),
		targets:        newTargetCalls(o.Targets),
	}
	h.loop = newLoop(loopOptions{
		reducer: o.Reducer, executor: h, clock: o.Clock, seed: o.Seed,
		maxEvents: maxControlEvents, lockThread: true, source: h.requests, calls: h.calls,
	})
	return h
}

// Run processes events until ctx ends or the log can't be written.
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

// writeLog writes and syncs the reducer's log writes in order, those that wait together.
// It returns when ctx ends or at the first error.
func (h *ControlHost) writeLog(ctx context.Context) error {
	for {
		batch := h.writes.takeAll(ctx)
		if batch == nil {
			return nil
		}
		for _, group := range groupWrites(batch) {
			if err := h.persist(ctx, mergeWrites(group)); err != nil {
				return trace.Wrap(err, "writing the control log")
			}
			if ctx.Err() != nil {
				return nil
			}
			for _, p := range group {
				h.loop.post(event.Persisted{Seq: p.Seq})
			}
		}
	}
}

// fullDiskRetryInterval is the delay between attempts to write to a full disk. It is
// short compared with the 6 s within which changes must take effect.
const fullDiskRetryInterval = 100 * time.Millisecond

// persist writes to the log. While the disk is full it retries until ctx ends:
// everything that depends on the write waits, and the other control hosts continue
// without this one.
func (h *ControlHost) persist(ctx context.Context, p effect.Persist) error {
	for diskFull := false; ; diskFull = true {
		err := h.Log.Persist(p)
		switch {
		case !errors.Is(err, syscall.ENOSPC):
			if diskFull && err == nil {
				klog.InfoS("control_log_written", "seq", p.Seq, "reason", "the disk is no longer full")
			}
			return err
		case !diskFull:
			klog.ErrorS(nil, "control_log_waits", "seq", p.Seq, "reason", "the disk is full")
		}
		select {
		case <-time.After(fullDiskRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// HandlePeerMessage posts a message from another control host to the reducer.
func (h *ControlHost) HandlePeerMessage(m proto.Message) { h.loop.post(event.PeerMessage{Message: m}) }

// HandleLeaseRequest queues a proxy's lease request for the reducer. It replaces an
// earlier one of the proxy that still waits.
func (h *ControlHost) HandleLeaseRequest(r proto.LeaseRequest) { h.requests.add(r) }

// Call queues the request of an operator or a target for the reducer and waits for the
// reply.
func (h *ControlHost) Call(ctx context.Context, r proto.OperatorRequest) (proto.OperatorReply, error) {
	call := h.lastCall.Add(1)
	reply := make(chan proto.OperatorReply, 1)
	h.pendingCalls.Store(call, reply)
	defer h.pendingCalls.Delete(call)
	select {
	case h.calls <- event.OperatorCalled{Call: call, Request: r}:
	default:
		return proto.OperatorReply{}, trace.LimitExceeded("%d calls wait for this control host", maxWaitingCalls)
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
		h.Peers.AddAddresses(e.Addresses)
	case effect.Persist:
		h.writes.add(e)
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
	if ch, ok := h.pendingCalls.LoadAndDelete(e.Call); ok {
		ch.(chan proto.OperatorReply) <- e.Reply
	}
}

func (h *ControlHost) callTarget(e effect.CallTarget) {
	ref := types.TargetRef{Service: e.Service, Name: e.Target.Name}
	done := func(r types.Result, err error) {
		h.loop.post(event.TargetReplied{Call: e.Call, Err: err, Result: r})
	}
	if p, ok := h.Targets.(Promoter); ok && e.Operation.Kind == types.OpPromote {
		go h.promote(p, ref, e, done)
		return
	}
	h.targets.submit(h.ctx, targetKey{ref, e.Target.Address}, targetJob{operation: e.Operation, timeout: e.Timeout, done: done})
}

// promote requests a promotion from an external promotion service.
func (h *ControlHost) promote(p Promoter, ref types.TargetRef, e effect.CallTarget, done func(types.Result, error)) {
	ctx, cancel := context.WithTimeout(h.ctx, e.Timeout)
	defer cancel()
	var result types.Result
	err := contain.Call("requesting the promotion of target "+ref.String(), func() (err error) {
		result, err = p.Promote(ctx, ref, e.Operation.Term)
		return err
	})
	done(result, err)
}
