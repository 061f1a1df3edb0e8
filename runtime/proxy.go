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
	Control  *core.Reducer                 // parts of the control goroutine
	Shard    func(shard int) *core.Reducer // parts of each shard
	Shards   int
	Clock    Clock
	Seed     func() uint64
	Link     ControlLink
	Targets  TargetDialer
	Recorder Recorder
}

// Proxy drives the reducers of a proxy: one control loop and the shards.
type Proxy struct {
	ProxyOptions
	loop   *loop
	shards []*shard
	calls  *targetCalls
	ctx    context.Context // ends with Run; probes use it
	view   atomic.Pointer[types.NodeView]
	first  chan struct{} // closed once a view holds a configuration
	next   atomic.Uint64 // numbers sessions
}

// NewProxy returns a proxy that Run starts.
func NewProxy(o ProxyOptions) *Proxy {
	p := &Proxy{ProxyOptions: o, calls: newTargetCalls(o.Targets), first: make(chan struct{})}
	p.loop = newLoop(loopOptions{
		reducer: o.Control, exec: p, clock: o.Clock, seed: o.Seed,
		queue: controlQueue, thread: true,
	})
	for i := range o.Shards {
		p.shards = append(p.shards, newShard(p, i))
	}
	return p
}

// Run steps the reducers until ctx ends.
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

// LeaseGrant hands over control's answer to a lease request.
func (p *Proxy) LeaseGrant(from types.HostID, g proto.LeaseGrant) {
	p.loop.post(event.LeaseGranted{From: from, Grant: g})
}

// Announce hands over what a target said of itself.
func (p *Proxy) Announce(a proto.Announcement) { p.loop.post(event.Announced{Announcement: a}) }

// Drain asks the proxy to take no new sessions and to end the others once
// nothing of them is in flight.
func (p *Proxy) Drain() {
	p.loop.post(event.DrainBegan{})
	for _, s := range p.shards {
		s.loop.post(event.DrainBegan{})
	}
}

// View returns the view that the shards act on, or nil before the first.
func (p *Proxy) View() *types.NodeView { return p.view.Load() }

func (p *Proxy) execute(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.RequestLease:
		p.Link.Request(e.To, e.Request)
	case effect.UpdateControlHosts:
		p.Link.Know(e.Addresses)
	case effect.Probe:
		p.probe(e)
	case effect.PublishView:
		p.publish(e.View)
	case effect.Decide:
		p.Recorder.Decision(e)
	}
}

// Configured is closed once the proxy has its first configuration.
func (p *Proxy) Configured() <-chan struct{} { return p.first }

func (p *Proxy) publish(v *types.NodeView) {
	if !p.view.Swap(v).Configured() && v.Configured() {
		close(p.first)
	}
	for _, s := range p.shards {
		s.loop.viewChanged()
	}
}

func (p *Proxy) probe(e effect.Probe) {
	asked := p.Clock()
	p.calls.do(p.ctx, targetKey{e.Ref, e.Address}, targetJob{
		operation: types.Operation{Kind: types.OpPosition}, timeout: e.Timeout,
		done: func(r types.Result, err error) {
			busy := r.Err == types.TargetErrBusy
			if errors.Is(err, ErrTargetFull) {
				busy, err = true, nil
			}
			p.loop.post(event.Probed{Ref: e.Ref, ProbedAt: asked, Err: err, Busy: busy, Status: r.Status})
		},
	})
}
