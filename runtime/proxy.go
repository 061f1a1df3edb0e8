package runtime

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// ProxyOptions configures a Proxy.
type ProxyOptions struct {
	Control  *core.Reducer                 // reducer of the control goroutine
	Shard    func(shard int) *core.Reducer // returns the reducer of a shard
	Shards   int
	Clock    Clock
	Seed     func() uint64
	Link     ControlLink
	Targets  TargetDialer
	Recorder Recorder
}

// Proxy runs the reducers of a proxy, one on the control loop and one on each
// shard, and executes their effects.
type Proxy struct {
	ProxyOptions
	loop        *loop
	shards      []*shard
	probes      *targetCalls
	ctx         context.Context // ends with Run; probes and connections to targets use it
	view        atomic.Pointer[types.NodeView]
	configured  chan struct{} // closed once a published view has a configuration
	lastSession atomic.Uint64 // number of the session opened last
}

// NewProxy returns a proxy that does nothing before Run.
func NewProxy(o ProxyOptions) *Proxy {
	p := &Proxy{ProxyOptions: o, probes: newTargetCalls(o.Targets), configured: make(chan struct{})}
	p.loop = newLoop(loopOptions{
		reducer: o.Control, executor: p, clock: o.Clock, seed: o.Seed,
		maxEvents: maxControlEvents, lockThread: true,
	})
	for i := range o.Shards {
		p.shards = append(p.shards, newShard(p, i))
	}
	return p
}

// Run processes events on all loops until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	p.ctx = ctx
	var loops sync.WaitGroup
	for _, s := range p.shards {
		loops.Add(2)
		go func() { defer loops.Done(); s.run(ctx) }()
		go func() { defer loops.Done(); s.forwardReports(ctx) }()
	}
	p.loop.run(ctx)
	loops.Wait()
}

// HandleLeaseGrant posts a control host's answer to a lease request.
func (p *Proxy) HandleLeaseGrant(from types.HostID, g proto.LeaseGrant) {
	p.loop.post(event.LeaseGranted{From: from, Grant: g})
}

// HandleAnnouncement posts the announcement of a target.
func (p *Proxy) HandleAnnouncement(a proto.Announcement) {
	p.loop.post(event.Announced{Announcement: a})
}

// Drain makes the proxy refuse new sessions, and end each of the others once it has
// no requests in flight. Requests that are not answered by until are refused; zero sets
// no limit.
func (p *Proxy) Drain(until types.Instant) {
	p.loop.post(event.DrainBegan{Until: until})
	for _, s := range p.shards {
		s.loop.post(event.DrainBegan{Until: until})
	}
}

// View returns the published view that the shards use, or nil before the first one.
func (p *Proxy) View() *types.NodeView { return p.view.Load() }

func (p *Proxy) execute(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.RequestLease:
		p.Link.Request(e.To, e.Request)
	case effect.UpdateControlHosts:
		p.Link.AddAddresses(e.Addresses)
	case effect.Probe:
		p.probe(e)
	case effect.PublishView:
		p.publish(e.View)
	case effect.Decide:
		p.Recorder.Decision(e)
	}
}

// Configured is closed once the proxy has its first configuration.
func (p *Proxy) Configured() <-chan struct{} { return p.configured }

func (p *Proxy) publish(v *types.NodeView) {
	if !p.view.Swap(v).Configured() && v.Configured() {
		close(p.configured)
	}
	for _, s := range p.shards {
		s.loop.viewChanged()
	}
}

func (p *Proxy) probe(e effect.Probe) {
	sentAt := p.Clock()
	p.probes.submit(p.ctx, targetKey{e.Ref, e.Address}, targetJob{
		operation: types.Operation{Kind: types.OpPosition}, timeout: e.Timeout, closeAfter: e.Close,
		done: func(r types.Result, err error) {
			probed := event.Probed{Ref: e.Ref, ProbedAt: sentAt, Err: err, Busy: r.Err == types.TargetErrBusy, Status: r.Status}
			if errors.Is(err, ErrTargetFull) {
				probed.Err, probed.Busy = nil, true
				probed.Unanswered = errors.Is(err, context.DeadlineExceeded)
				probed.Full = !probed.Unanswered
			}
			p.loop.post(probed)
		},
	})
}
