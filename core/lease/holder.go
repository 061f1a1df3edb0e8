package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
)

// Keys of the holder's timers.
const (
	timerRequest       uint64 = iota // the next request is due
	timerAnswerTimeout               // the last request got no answer
	timerExpiry                      // the lease ends
)

// Holder keeps a proxy's lease alive and its cluster view up to date. Package
// node forwards events to it.
type Holder struct {
	self types.HostID
	zone types.AvailabilityZone
	fill func(*proto.LeaseRequest)
	// apply is called with each grant whose shares are applied, unless it is nil.
	apply func(proto.LeaseGrant)

	seq         uint64
	firstSeq    uint64                   // Seq of the first request of this process
	outstanding map[uint64]types.Instant // send times by Seq of the requests whose grants are accepted
	sentAt      types.Instant            // time of the last request
	leader      types.HostID             // where requests go; empty means any control host
	sentTo      types.HostID             // where the last request went; empty as for leader
	latestTerm  proto.ControlTerm        // control term of the last grant applied
	waitsSince  types.Instant            // time of the first request without an answer, or zero
	timeouts    int                      // consecutive times that no answer came in time
	redirects   int                      // consecutive answers that named no other leader
	overdue     bool                     // the next request waits for the answer to the last one

	until         types.Instant
	views         cluster.ViewAssembly
	fleet         types.Fleet                     // as of the last grant
	granted       map[types.TargetRef]types.Share // shares of the last grant whose shares were applied
	shares        map[types.TargetRef]types.Share // granted, and those of the other managed targets; never modified
	suspects      []types.ServiceName             // of the last grant whose shares were applied
	sharesVersion uint64                          // increases when shares changes
	sharesSeq     uint64                          // Seq of the last grant whose shares were applied
	controlHosts  []types.Address
}

// NewHolder returns a holder without a lease. fill adds the proxy's reports to a
// request before it is sent.
func NewHolder(self types.HostID, zone types.AvailabilityZone, fill func(*proto.LeaseRequest)) *Holder {
	return &Holder{self: self, zone: zone, fill: fill, outstanding: make(map[uint64]types.Instant)}
}

// Until returns the end of the lease, or zero before the first lease.
func (h *Holder) Until() types.Instant { return h.until }

// Cluster returns the last complete cluster view, or nil.
func (h *Holder) Cluster() *types.ClusterView { return h.views.View() }

// Shares returns this proxy's share of each target.
func (h *Holder) Shares() map[types.TargetRef]types.Share { return h.shares }

// SetApply sets what else is done with a grant whose shares are applied, before the next
// request is sent.
func (h *Holder) SetApply(apply func(proto.LeaseGrant)) { h.apply = apply }

// Fleet returns the place of this proxy among those with a lease, as of the last grant.
func (h *Holder) Fleet() types.Fleet { return h.fleet }

// Suspects returns the managed services whose primary fails for some proxy, as of the
// last grant.
func (h *Holder) Suspects() []types.ServiceName { return h.suspects }

// SharesVersion returns a number that increases whenever a share changes.
func (h *Holder) SharesVersion() uint64 { return h.sharesVersion }

// RequestSoon sends a request before the regular interval ends, but not within
// minRequestInterval of the last one, or longer if there are many proxies.
func (h *Holder) RequestSoon(now types.Instant) []effect.Effect {
	interval := max(minRequestInterval, time.Duration(h.fleet.Proxies)*time.Second/earlyRequestsPerSecond)
	if next := h.sentAt.Add(interval); h.sentAt != 0 && now < next {
		return []effect.Effect{h.arm(timerRequest, next)}
	}
	return h.sendRequest(now)
}

// RequestWhenAnswered sends a request early, but not before the last one was answered.
func (h *Holder) RequestWhenAnswered(now types.Instant) []effect.Effect {
	if h.waitsSince != 0 {
		h.overdue = true
		return nil
	}
	return h.RequestSoon(now)
}

// Step processes one event.
func (h *Holder) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.Start:
		h.seq = in.Seed >> 1
		h.firstSeq = h.seq + 1
		return h.sendRequest(in.Now)
	case event.TimerFired:
		if e.ID.Domain == event.DomainLeaseHolder {
			return h.handleTimer(in.Now, e.ID.Key)
		}
	case event.LeaseGranted:
		return h.handleGrant(in.Now, e)
	}
	return nil
}

func (h *Holder) handleTimer(now types.Instant, key uint64) []effect.Effect {
	switch key {
	case timerRequest:
		if h.waitsSince != 0 && h.timeouts > 0 && h.leader != "" {
			h.overdue = true // the answer, or its timeout, leads to the next request
			return nil
		}
		return h.sendRequest(now)
	case timerAnswerTimeout:
		out := h.abandonLeader()
		h.leader, h.waitsSince = "", 0
		h.timeouts++
		return append(out, h.sendRequest(now)...)
	case timerExpiry:
		if now >= h.until {
			return h.expireLease()
		}
	}
	return nil
}

// abandonLeader returns the log record of a leader that didn't answer in time.
func (h *Holder) abandonLeader() []effect.Effect {
	if h.leader == "" {
		return nil
	}
	return []effect.Effect{effect.Decide{
		Kind: effect.DecideControlLost, Host: h.leader, Reason: "no answer within " + h.answerTimeout().String(),
	}}
}

// expireLease drops the shares when the lease ends, except those of managed
// services: the shards decide what they may still serve without a lease, and the
// targets refuse connections beyond their limit.
func (h *Holder) expireLease() []effect.Effect {
	h.granted = nil
	h.updateShares()
	return []effect.Effect{effect.Decide{
		Kind: effect.DecideLeaseLost, Host: h.self, Reason: "no control leader renewed the lease in time",
	}}
}

// sendRequest requests a lease or its renewal.
func (h *Holder) sendRequest(now types.Instant) []effect.Effect {
	h.seq++
	h.sentAt, h.overdue = now, false
	h.dropOutstanding(now)
	h.sentTo = h.leader
	h.outstanding[h.seq] = now
	if h.waitsSince == 0 {
		h.waitsSince = now
	}
	r := proto.LeaseRequest{
		Proxy: h.self, AvailabilityZone: h.zone, Seq: h.seq, SentAt: now, SharesSeq: h.sharesSeq,
		ViewVersion: h.views.Version(), Cursor: h.views.Cursor(),
	}
	h.fill(&r)
	return []effect.Effect{
		effect.RequestLease{To: h.leader, Request: r},
		h.arm(timerRequest, now.Add(requestInterval)),
		h.arm(timerAnswerTimeout, h.waitsSince.Add(h.answerTimeout())),
	}
}

// dropOutstanding forgets requests whose grants would bring no time any more. When the
// next request goes to another control host, grants for earlier ones are no longer
// accepted either, unless all services are managed: the host that grants has to know
// every share that the proxy may still use, but no shares of managed targets. Without
// these grants a slow leader could not renew the leases that it has to renew.
func (h *Holder) dropOutstanding(now types.Instant) {
	strict := h.Cluster() == nil || !h.Cluster().Config.AllManaged()
	if strict && (h.leader != h.sentTo || h.leader == "") {
		clear(h.outstanding)
		return
	}
	maps.DeleteFunc(h.outstanding, func(_ uint64, sentAt types.Instant) bool { return now.Sub(sentAt) >= Duration-driftMargin })
}

// answerTimeout returns how long to wait for an answer. It doubles with each time that
// none came, so that requests don't keep a slow leader busy.
func (h *Holder) answerTimeout() time.Duration {
	return retry.ExponentialDelay(minAnswerTimeout, maxAnswerTimeout, h.timeouts)
}

// handleGrant processes the answer of a control host. The view and the addresses
// of the control hosts are applied whenever they arrive, even from a host that
// isn't the leader, since a view never replaces a newer one. The lease and the
// shares are accepted only from the host that the last request went to.
func (h *Holder) handleGrant(now types.Instant, e event.LeaseGranted) []effect.Effect {
	g := e.Grant
	if g.Seq < h.firstSeq || g.Seq > h.seq {
		return nil // answers a request of an earlier process
	}
	out := h.updateControlHosts(g.Hosts)
	progress, started := h.applyView(e)
	out = append(out, started...)
	sentAt, pending := h.outstanding[g.Seq]
	pending = pending && sentAt == g.SentAt
	if pending && g.NotLeader {
		return append(out, h.followRedirect(now, e, progress)...)
	}
	if !pending || g.NotLeader || g.Term < h.latestTerm || now >= sentAt.Add(Duration-driftMargin) {
		return append(out, h.requestNextPart(now, progress)...)
	}
	out = append(out, h.applyGrant(now, sentAt, e, progress)...)
	if h.overdue {
		out = append(out, h.RequestSoon(now)...)
	}
	return out
}

// applyGrant applies the lease and the shares of a grant. If the control host's view is
// newer than the holder's, it requests that view instead.
func (h *Holder) applyGrant(now, sentAt types.Instant, e event.LeaseGranted, progress bool) []effect.Effect {
	g := e.Grant
	h.dropRequestsBefore(g.Seq)
	h.leader, h.latestTerm, h.timeouts, h.redirects = e.From, g.Term, 0, 0
	out := []effect.Effect{h.awaitAnswer(g.Seq)}
	if g.View != nil && h.views.Version() < g.View.Version {
		return append(out, h.requestNewerView(now, progress)...)
	}
	h.applyShares(g)
	return append(out, h.extendLease(now, sentAt, g)...)
}

// awaitAnswer sets the time by which the first request after the answered one has to be
// answered, if there is one.
func (h *Holder) awaitAnswer(answered uint64) effect.Effect {
	h.waitsSince = 0
	for seq, sentAt := range h.outstanding {
		if seq > answered && (h.waitsSince == 0 || sentAt < h.waitsSince) {
			h.waitsSince = sentAt
		}
	}
	if h.waitsSince == 0 {
		return effect.StopTimer{ID: timerID(timerAnswerTimeout)}
	}
	return h.arm(timerAnswerTimeout, h.waitsSince.Add(h.answerTimeout()))
}

// applyView applies the view update in a grant and reports whether the view or the
// parts received of the next one changed.
func (h *Holder) applyView(e event.LeaseGranted) (bool, []effect.Effect) {
	u, before := e.Grant.View, h.Cluster()
	if u == nil || !h.views.Apply(u) {
		return false, nil
	}
	if h.Cluster() != before {
		h.updateShares()
	}
	if !u.More || u.After != (proto.ViewCursor{}) {
		return true, nil
	}
	return true, []effect.Effect{effect.Decide{
		Kind: effect.DecideViewStarted, Host: e.From, Version: u.Version,
		Reason: fmt.Sprintf("received the first of several parts of the view, based on version %d", u.Base),
	}}
}

// requestNextPart requests the next part of a view after one was applied.
func (h *Holder) requestNextPart(now types.Instant, progress bool) []effect.Effect {
	if !progress || h.views.Cursor().FirstVersion == 0 {
		return nil
	}
	return h.RequestSoon(now)
}

// requestNewerView sends a request because the leader has a newer view. After a
// part that was received before it sends none: the request for the next part is
// already in flight.
func (h *Holder) requestNewerView(now types.Instant, progress bool) []effect.Effect {
	if !progress && h.views.Cursor().FirstVersion != 0 {
		return nil
	}
	return h.RequestSoon(now)
}

// updateControlHosts passes the addresses of the control hosts to the runtime if
// they changed.
func (h *Holder) updateControlHosts(hosts []types.Address) []effect.Effect {
	if len(hosts) == 0 || slices.Equal(hosts, h.controlHosts) {
		return nil
	}
	h.controlHosts = hosts
	return []effect.Effect{effect.UpdateControlHosts{Addresses: hosts}}
}

// dropRequestsBefore forgets the requests before seq: their grants are older than
// the one applied. Request seq itself stays, since the control host may answer it again
// with a newer view.
func (h *Holder) dropRequestsBefore(seq uint64) {
	maps.DeleteFunc(h.outstanding, func(other uint64, _ types.Instant) bool { return other < seq })
}

// updateShares combines the granted shares with those of the managed targets without
// a granted one. It replaces the map only if a share has changed.
func (h *Holder) updateShares() {
	shares := maps.Clone(h.granted)
	if shares == nil {
		shares = make(map[types.TargetRef]types.Share)
	}
	if v := h.Cluster(); v != nil && v.Config != nil {
		for name, g := range v.Groups {
			h.addManagedShares(shares, v.Config.Services[name], g)
		}
	}
	if !maps.Equal(shares, h.shares) {
		h.shares = shares
		h.sharesVersion++
	}
}

// addManagedShares adds the shares of a group's managed targets that have none.
func (h *Holder) addManagedShares(shares map[types.TargetRef]types.Share, svc types.Service, g *types.Group) {
	if !svc.Managed {
		return
	}
	for _, m := range g.Members {
		ref := types.TargetRef{Service: g.Service, Name: m.Name}
		if _, ok := shares[ref]; !ok {
			shares[ref] = capacity.ManagedShare(svc, m, h.fleet)
		}
	}
}

// followRedirect sends the next request to the leader that a follower named. If the
// follower named no other leader, any control host is tried after redirectDelay. A
// follower that sends parts of a view is asked for the rest, so that the leader need not
// send the first views of all proxies when they start.
func (h *Holder) followRedirect(now types.Instant, e event.LeaseGranted, progress bool) []effect.Effect {
	g := e.Grant
	delete(h.outstanding, g.Seq)
	if g.Seq != h.seq {
		return h.requestNextPart(now, progress)
	}
	h.waitsSince = 0
	switch {
	case progress && g.View.More:
		h.leader = e.From
	case g.Leader == "" || g.Leader == h.leader:
		h.leader = ""
		delay := h.redirectDelay()
		h.redirects++
		return []effect.Effect{effect.StopTimer{ID: timerID(timerAnswerTimeout)}, h.arm(timerRequest, now.Add(delay))}
	default:
		h.leader = g.Leader
	}
	return h.RequestSoon(now)
}

// redirectDelay returns how long to wait until the next control host is tried: at first
// redirectDelay, then longer each time by a part that differs between the proxies.
func (h *Holder) redirectDelay() time.Duration {
	longer := retry.ExponentialDelay(redirectDelay, maxRedirectDelay, h.redirects) - redirectDelay
	if longer == 0 {
		return redirectDelay
	}
	spread := xxhash.Sum64String(string(h.self)) + h.seq
	return redirectDelay + longer/2 + time.Duration(spread%uint64(longer/2))
}

// applyShares replaces the shares by those of a grant that brings a lease.
func (h *Holder) applyShares(g proto.LeaseGrant) {
	if g.Duration == 0 {
		return
	}
	h.sharesSeq, h.suspects = g.Seq, g.Suspects
	granted := make(map[types.TargetRef]types.Share, len(g.Shares))
	for _, s := range g.Shares {
		granted[s.Ref] = s.Share
	}
	if g.Fleet != h.fleet || h.granted == nil || !maps.Equal(granted, h.granted) {
		h.fleet, h.granted = g.Fleet, granted
		h.updateShares()
	}
	if h.apply != nil {
		h.apply(g)
	}
}

// extendLease sets the end of the lease, counted from the time of the request on
// the proxy's own clock.
func (h *Holder) extendLease(now, sentAt types.Instant, g proto.LeaseGrant) []effect.Effect {
	until := sentAt.Add(g.Duration - driftMargin)
	if g.Duration == 0 || until <= h.until {
		return nil
	}
	gained := now >= h.until
	h.until = until
	out := []effect.Effect{h.arm(timerExpiry, until)}
	if gained && now < until {
		out = append(out, effect.Decide{
			Kind: effect.DecideLeaseGained, Host: h.self, Reason: fmt.Sprintf("granted by control leader %s in term %d", h.leader, h.latestTerm),
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
