package lease

import (
	"fmt"
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Keys of the holder's timers.
const (
	timerRequest uint64 = iota // the next request is due
	timerAnswer                // the last request got no answer
	timerExpiry                // the lease ends
)

// Holder keeps a proxy's lease alive and its cluster view up to date. The
// node part of a proxy steps it.
type Holder struct {
	self types.HostID
	zone types.AvailabilityZone
	fill func(*proto.LeaseRequest)

	seq    uint64
	first  uint64                   // number of the first request of this process
	sent   map[uint64]types.Instant // requests that may still be granted
	sentAt types.Instant            // of the last request
	leader types.HostID             // whom to ask; empty stands for any
	asked  types.HostID             // whom the last request went to
	term   proto.ControlTerm        // latest term of a grant

	until  types.Instant
	views  cluster.ViewAssembly
	shares map[types.TargetRef]types.Share
	taken  uint64 // number of the grant that brought shares
	hosts  []types.Address
}

// NewHolder returns a holder without a lease. fill completes a request with
// what the proxy has to report.
func NewHolder(self types.HostID, zone types.AvailabilityZone, fill func(*proto.LeaseRequest)) *Holder {
	return &Holder{self: self, zone: zone, fill: fill, sent: make(map[uint64]types.Instant)}
}

// Until returns the end of the lease, zero before the first.
func (h *Holder) Until() types.Instant { return h.until }

// Cluster returns the last cluster view, or nil.
func (h *Holder) Cluster() *types.ClusterView { return h.views.View() }

// Shares returns this proxy's part of each target.
func (h *Holder) Shares() map[types.TargetRef]types.Share { return h.shares }

// Hurry sends a request at once instead of at the next interval.
func (h *Holder) Hurry(now types.Instant) []effect.Effect {
	if next := h.sentAt.Add(hurryInterval); h.sentAt != 0 && now < next {
		return []effect.Effect{h.arm(timerRequest, next)}
	}
	return h.request(now)
}

// Step takes in one event.
func (h *Holder) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.Start:
		h.seq = in.Seed >> 1
		h.first = h.seq + 1
		return h.request(in.Now)
	case event.TimerFired:
		if e.ID.Domain == event.DomainLeaseHolder {
			return h.timer(in.Now, e.ID.Key)
		}
	case event.LeaseGranted:
		return h.granted(in.Now, e)
	}
	return nil
}

func (h *Holder) timer(now types.Instant, key uint64) []effect.Effect {
	switch key {
	case timerRequest:
		return h.request(now)
	case timerAnswer:
		out := h.leftLeader()
		h.leader = ""
		return append(out, h.request(now)...)
	case timerExpiry:
		if now >= h.until {
			return h.expire()
		}
	}
	return nil
}

// leftLeader records that the leader is given up.
func (h *Holder) leftLeader() []effect.Effect {
	if h.leader == "" {
		return nil
	}
	return []effect.Effect{effect.Decide{
		Kind: effect.DecideControlLost, Host: h.leader, Reason: "no answer within " + answerTimeout.String(),
	}}
}

// expire gives up the shares together with the lease, but for those of managed
// services: their targets fence themselves, so that the proxy may serve on, and
// they refuse connections beyond their limit.
func (h *Holder) expire() []effect.Effect {
	kept := make(map[types.TargetRef]types.Share)
	for ref, share := range h.shares {
		if h.views.View().Config.Managed(ref.Service) {
			kept[ref] = share
		}
	}
	h.shares = kept
	return []effect.Effect{effect.Decide{
		Kind: effect.DecideLeaseLost, Host: h.self, Reason: "no control leader renewed the lease in time",
	}}
}

// request asks for the lease. Grants of another host are not taken any more:
// this host must know all that the proxy may still use.
func (h *Holder) request(now types.Instant) []effect.Effect {
	h.seq++
	h.sentAt = now
	if h.leader != h.asked || h.leader == "" {
		clear(h.sent)
	}
	h.asked = h.leader
	h.sent[h.seq] = now
	r := proto.LeaseRequest{
		Proxy: h.self, AvailabilityZone: h.zone, Seq: h.seq, SentAt: now, Taken: h.taken,
		Have: h.views.Version(), At: h.views.Cursor(),
	}
	h.fill(&r)
	return []effect.Effect{
		effect.RequestLease{To: h.leader, Request: r},
		h.arm(timerRequest, now.Add(requestInterval)),
		h.arm(timerAnswer, now.Add(answerTimeout)),
	}
}

// granted takes in an answer. What it says of the view and of the control hosts
// is of use whenever it comes, also from a host that does not lead: a view never
// goes back. The lease and the shares are taken of the host that was asked last.
func (h *Holder) granted(now types.Instant, e event.LeaseGranted) []effect.Effect {
	g := e.Grant
	if g.Seq < h.first || g.Seq > h.seq {
		return nil // of an earlier process
	}
	out := h.learnHosts(g.Hosts)
	progress, begun := h.takeView(e)
	out = append(out, begun...)
	sentAt, asked := h.sent[g.Seq]
	asked = asked && sentAt == g.SentAt
	if asked && g.NotLeader {
		out = append(out, h.redirect(now, g)...)
	}
	if !asked || g.NotLeader || g.Term < h.term || now >= sentAt.Add(Duration-driftMargin) {
		return append(out, h.nextPart(now, progress)...)
	}
	return append(out, h.takeGrant(now, sentAt, e, progress)...)
}

// takeGrant takes over the lease and the shares, unless control's view is newer
// than this one.
func (h *Holder) takeGrant(now, sentAt types.Instant, e event.LeaseGranted, progress bool) []effect.Effect {
	g := e.Grant
	h.forgetBefore(g.Seq)
	h.leader, h.term = e.From, g.Term
	var out []effect.Effect
	if g.Seq == h.seq {
		out = append(out, effect.StopTimer{ID: timerID(timerAnswer)})
	}
	if g.View != nil && h.views.Version() < g.View.Version {
		return append(out, h.catchUp(now, progress)...)
	}
	h.takeShares(g)
	return append(out, h.extend(now, sentAt, g)...)
}

// takeView takes over what an answer says of the view, and reports whether it
// was of use.
func (h *Holder) takeView(e event.LeaseGranted) (bool, []effect.Effect) {
	u, first := e.Grant.View, h.Cluster() == nil
	if u == nil || !h.views.Apply(u) {
		return false, nil
	}
	if first && e.Grant.NotLeader && h.Cluster() != nil {
		h.shares = provisionalShares(h.Cluster())
	}
	if !u.More || u.After != (proto.ViewCursor{}) {
		return true, nil
	}
	return true, []effect.Effect{effect.Decide{
		Kind: effect.DecideViewBegun, Host: e.From, Version: u.Version,
		Reason: fmt.Sprintf("the first of several parts, since version %d", u.Base),
	}}
}

// nextPart asks for the next part of a view after one was taken.
func (h *Holder) nextPart(now types.Instant, progress bool) []effect.Effect {
	if !progress || h.views.Cursor().Begun == 0 {
		return nil
	}
	return h.Hurry(now)
}

// catchUp asks again when a view is newer than this one. A part that was there
// already calls for nothing: the request that followed it is under way.
func (h *Holder) catchUp(now types.Instant, progress bool) []effect.Effect {
	if !progress && h.views.Cursor().Begun != 0 {
		return nil
	}
	return h.Hurry(now)
}

// learnHosts makes the addresses of the control hosts known when they changed.
func (h *Holder) learnHosts(hosts []types.Address) []effect.Effect {
	if len(hosts) == 0 || slices.Equal(hosts, h.hosts) {
		return nil
	}
	h.hosts = hosts
	return []effect.Effect{effect.KnowHosts{Addresses: hosts}}
}

// forgetBefore drops the requests before seq: an older grant has nothing to
// add. Request seq itself may be answered again, with a newer view.
func (h *Holder) forgetBefore(seq uint64) {
	maps.DeleteFunc(h.sent, func(other uint64, _ types.Instant) bool { return other < seq })
}

// provisionalShares returns what a proxy may use of managed targets until
// control has divided them: they refuse what is above their limit.
func provisionalShares(v *types.ClusterView) map[types.TargetRef]types.Share {
	shares := make(map[types.TargetRef]types.Share)
	for name, g := range v.Groups {
		if !v.Config.Managed(name) {
			continue
		}
		for _, m := range g.Members {
			shares[types.TargetRef{Service: name, Name: m.Name}] = types.Share{
				Connections: max(1, v.Config.Services[name].Connections/provisionalDivisor), Slots: 1,
			}
		}
	}
	return shares
}

// redirect asks the host that a follower named. Without a name it tries any
// host a little later.
func (h *Holder) redirect(now types.Instant, g proto.LeaseGrant) []effect.Effect {
	delete(h.sent, g.Seq)
	if g.Seq != h.seq {
		return nil
	}
	if g.Leader == "" || g.Leader == h.leader {
		return []effect.Effect{h.arm(timerAnswer, now.Add(redirectDelay))}
	}
	h.leader = g.Leader
	return h.Hurry(now)
}

// takeShares replaces the shares by those of the newest grant.
func (h *Holder) takeShares(g proto.LeaseGrant) {
	if g.Duration == 0 {
		return
	}
	h.taken = g.Seq
	shares := make(map[types.TargetRef]types.Share, len(g.Shares))
	for _, s := range g.Shares {
		shares[s.Ref] = s.Share
	}
	h.shares = shares
}

// extend counts the lease from the request, on the proxy's own clock.
func (h *Holder) extend(now, sentAt types.Instant, g proto.LeaseGrant) []effect.Effect {
	until := sentAt.Add(g.Duration - driftMargin)
	if g.Duration == 0 || until <= h.until {
		return nil
	}
	gained := now >= h.until
	h.until = until
	out := []effect.Effect{h.arm(timerExpiry, until)}
	if gained && now < until {
		out = append(out, effect.Decide{
			Kind: effect.DecideLeaseGained, Host: h.self, Reason: "granted by the control leader",
		})
	}
	return out
}

func (h *Holder) arm(key uint64, at types.Instant) effect.Effect {
	return effect.ArmTimer{ID: timerID(key), At: at}
}

func timerID(key uint64) event.TimerID {
	return event.TimerID{Domain: event.DomainLeaseHolder, Key: key}
}
