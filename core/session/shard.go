// Package session serves callers on one traffic shard of a proxy. It determines
// the floor of each session, which is the log position that its reads must
// cover, and the target of each request. It acknowledges a write only while the
// proxy's lease is live, the term is current and the write is durable.
package session

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/admission"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Options configures a Shard. Index is the number of the shard in its proxy.
type Options struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Index            int
	Shards           int            // number of shards of the proxy
	Policy           routing.Policy // nil selects routing.Default
	CrowdedPolicy    routing.Policy // before targets with many proxies for each slot; nil selects Policy
}

// Shard is the reducer over the traffic events of one shard. It holds the state
// of the shard's sessions, services and connections.
type Shard struct {
	options       Options
	sessions      map[types.SessionID]*session
	services      map[types.ServiceName]*service
	conns         map[types.ConnID]*pool.Conn
	lastConn      types.ConnID
	draining      bool
	reports       reporter
	usage         admission.Usage // of the organisations
	quotas        *quota.Admission
	lacking       map[types.OrganisationName][]*request // requests that wait for a right of their organisation, in order
	quotaLoggedAt types.Instant                         // last log record of an organisation at its limit

	checkedConfig *types.Config // the configuration that the keys of transactions were last checked against

	// Set while draining with a limit.
	drainUntil        types.Instant // requests that are not answered by then are refused
	transactionsUntil types.Instant // transactions that wait for their caller are ended then

	// Valid during one step.
	now   types.Instant
	seed  uint64
	view  *types.NodeView
	dirty map[types.ServiceName]bool // services to dispatch queued requests of
	out   []effect.Effect
}

// NewShard returns a shard without sessions.
func NewShard(o Options) *Shard {
	if o.Policy == nil {
		o.Policy = routing.Default()
	}
	if o.CrowdedPolicy == nil {
		o.CrowdedPolicy = o.Policy
	}
	return &Shard{
		options:  o,
		sessions: make(map[types.SessionID]*session),
		services: make(map[types.ServiceName]*service),
		conns:    make(map[types.ConnID]*pool.Conn),
		dirty:    make(map[types.ServiceName]bool),
		quotas:   quota.NewAdmission(o.Shards, o.Index),
		lacking:  make(map[types.OrganisationName][]*request),
	}
}

// Step handles one event under the view in.View and returns the effects to
// execute.
func (s *Shard) Step(in event.Input) []effect.Effect {
	s.now, s.seed, s.out = in.Now, in.Seed, nil
	if in.View != s.view {
		s.view = in.View
		s.viewChanged()
	}
	s.handle(in.Event)
	for _, name := range slices.Sorted(maps.Keys(s.dirty)) {
		s.dispatch(s.services[name])
	}
	clear(s.dirty)
	s.report()
	return s.out
}

// handle dispatches an event to its handler.
func (s *Shard) handle(ev event.Event) {
	switch e := ev.(type) {
	case event.SessionOpened:
		s.openSession(e)
	case event.RequestArrived:
		s.requestArrived(e)
	case event.SessionClosed:
		s.closeSession(e.Session)
	case event.TargetConnected:
		s.targetConnected(e)
	case event.TargetAnswered:
		s.targetAnswered(e)
	case event.TimerFired:
		s.timerFired(e.ID)
	case event.DrainBegan:
		s.drain(e.Until)
	}
}

// emit adds an effect to those that the step returns.
func (s *Shard) emit(eff effect.Effect) { s.out = append(s.out, eff) }

// random returns fresh random bits, different for each call within a step.
func (s *Shard) random() uint64 {
	s.seed = s.seed*6364136223846793005 + 1442695040888963407
	return s.seed
}

// leaseLive reports whether the proxy holds a live lease.
func (s *Shard) leaseLive() bool { return s.view.LeaseLive(s.now) }

// timerFired handles a timer of a session, of a service's pools or of the
// reports.
func (s *Shard) timerFired(id event.TimerID) {
	switch id.Domain {
	case event.DomainSession:
		if c, ok := s.sessions[types.SessionID(id.Key)]; ok {
			s.sessionTimerFired(c)
		}
	case event.DomainPool:
		s.poolTimerFired(id.Key)
	case event.DomainDrain:
		s.reports.timerFired()
	}
}
