package division

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// reserveDivisor is the part of a limit that stays free for proxies whose operations
	// wait, before a proxy gets rights ahead of its need.
	reserveDivisor = 8
	// minReserve is added to that part, which is too small in small organisations.
	minReserve = 3
	// spentDivisor is the part of the rights that may be unused while a limit counts as
	// used up.
	spentDivisor = 16
	// levelDivisor is the part of its rights that a proxy with more than an equal part
	// gives back with each grant while others lack some.
	levelDivisor = 16
	// levelTime is how long after a proxy lacked rights the parts are levelled.
	levelTime = time.Second
)

// pool is the limit of one organisation.
type pool struct {
	holdings map[types.HostID]*holding
	held     int          // sum of what the proxies may hold
	parts    int          // sum of their parts
	used     int          // sum of what they reported as used
	past     []pastRights // of processes that were replaced, in order of since

	// reported is what the proxies held that named their rights to a new leader. The
	// others hold nothing of it.
	reported   int
	allowance  allowance
	lackedAt   types.Instant // when a proxy last lacked rights, or zero
	recordedAt types.Instant // when that was last recorded
}

// pastRights are rights that a process may have used before it ended.
type pastRights struct {
	rights       int
	since, until types.Instant
}

// pastRights returns how many rights processes that were replaced may have used within
// the period.
func (p *pool) pastRights(limit quota.Limit, now types.Instant) int {
	p.past = slices.DeleteFunc(p.past, func(r pastRights) bool { return r.until <= now })
	if len(p.past) == 0 {
		return 0
	}
	sum := 0
	for _, r := range p.past {
		sum += r.rights
	}
	return max(0, sum-limit.Regained(now.Sub(p.past[len(p.past)-1].since)))
}

// holding is what one proxy may hold of a pool.
type holding struct {
	reported int // the most rights that its shards may act on, by the last report
	used     int // rights that were used, by the last report
	grants   []grant
	counted  int // what the pool's sum has of it
	inParts  int // what the pool's sum of parts has of it
	inUsed   int
}

// grant is a granted part that the proxy may have applied or may still apply.
type grant struct {
	seq    uint64
	rights int
}

// part returns the largest part that the proxy may act on.
func (h *holding) part() int {
	most := h.reported
	for _, g := range h.grants {
		most = max(most, g.rights)
	}
	return most
}

// update brings the sums of the pool up to date after a holding has changed.
func (p *pool) update(h *holding) {
	part := h.part()
	held := max(part, h.used)
	p.held += held - h.counted
	p.parts += part - h.inParts
	p.used += h.used - h.inUsed
	h.counted, h.inParts, h.inUsed = held, part, h.used
}

// report applies what a proxy says of its part. Grants up to seq, the last one that the
// proxy applied, no longer count.
func (p *pool) report(proxy types.HostID, use proto.QuotaUse, seq uint64) {
	h := p.holdings[proxy]
	if h == nil {
		h = &holding{}
		p.holdings[proxy] = h
	}
	h.reported, h.used = clamp(use.Part), clamp(use.Used)
	open := h.grants[:0]
	for _, g := range h.grants {
		if g.seq > seq {
			open = append(open, g)
		}
	}
	h.grants = open
	before := p.held
	p.update(h)
	p.allowance.rights += float64(max(0, before-p.held))
}

// withdraw forgets the grants of a proxy that applies none of them any more.
func (p *pool) withdraw(proxy types.HostID) {
	h := p.holdings[proxy]
	h.grants = nil
	p.update(h)
}

// grant records a part until the proxy names it.
func (p *pool) grant(proxy types.HostID, seq uint64, rights int) {
	h := p.holdings[proxy]
	h.grants = append(h.grants, grant{seq: seq, rights: rights})
	before := p.held
	p.update(h)
	p.allowance.rights -= float64(p.held - before)
}

// drop forgets a proxy and returns what it may hold.
func (p *pool) drop(proxy types.HostID) int {
	h := p.holdings[proxy]
	if h == nil {
		return 0
	}
	delete(p.holdings, proxy)
	p.held -= h.counted
	p.parts -= h.inParts
	p.used -= h.inUsed
	return h.counted
}

// sweep forgets proxies that hold nothing. It reports whether the pool holds nothing
// either.
func (p *pool) sweep() bool {
	maps.DeleteFunc(p.holdings, func(_ types.HostID, h *holding) bool { return h.counted == 0 })
	return len(p.holdings) == 0 && len(p.past) == 0 && p.reported == 0
}

// part returns the part that a proxy should have. A proxy keeps what it has unless others
// need it, and gets more only of what nobody else may hold.
func (p *pool) part(proxy types.HostID, use proto.QuotaUse, limit quota.Limit, available int, now types.Instant) int {
	have, needed := clamp(use.Part), clamp(use.Used)+clamp(use.Waiting)
	p.allowance.refill(limit, p.used, now)
	free := max(0, available-(p.held-p.holdings[proxy].counted))
	if limit.Paced() {
		free = min(free, p.holdings[proxy].counted+int(max(0, p.allowance.rights)))
	}
	if free < needed {
		p.lackedAt = now
	}
	unreserved := free - min(limit.Rights/reserveDivisor+minReserve, limit.Rights/2)
	wanted := needed + quota.Ahead(needed)
	if have > wanted && have <= needed+2*quota.Ahead(needed) {
		wanted = have // within what is usual until the next report
	}
	part := min(wanted, max(needed, unreserved))
	return min(part, max(free, p.keeps(have, limit.Rights, now)))
}

// spent reports whether nearly all rights are used, rather than held unused or on their
// way from one proxy to another.
func (p *pool) spent(limit quota.Limit, now types.Instant) bool {
	if limit.Paced() && p.allowance.rights < 1 {
		return true
	}
	return p.used+p.pastRights(limit, now) >= limit.Rights-limit.Rights/spentDivisor
}

// keeps returns how much of its part a proxy may keep: all, unless the limit is lower than
// the sum of all parts, or others lack rights while it has more than an equal part.
func (p *pool) keeps(have, limit int, now types.Instant) int {
	kept := p.scaled(have, limit)
	equal := max(1, limit/max(1, len(p.holdings)))
	if p.lackedAt != 0 && now.Sub(p.lackedAt) < levelTime && kept > equal {
		kept = max(equal, kept-1-kept/levelDivisor)
	}
	return kept
}

// scaled returns a part reduced in proportion if the sum of all parts is above the limit.
func (p *pool) scaled(part, limit int) int {
	if p.parts <= limit {
		return part
	}
	return int(int64(part) * int64(limit) / int64(p.parts))
}

// maxRights bounds what a proxy can report, far above what limits allow.
const maxRights = 1 << 30

func clamp(n int) int { return min(max(n, 0), maxRights) }

// allowance paces how many more rights the proxies may hold together. It is a token bucket
// of the organisation's burst that refills at the pace at which all rights would be used
// evenly, less the pace at which those in use are used again.
type allowance struct {
	rights     float64
	refilledAt types.Instant
	begun      bool
}

// begin fills the allowance, unless processes that have ended may have used rights since
// the last restart.
func (a *allowance) begin(limit quota.Limit, sinceRestart time.Duration) {
	if !a.begun && sinceRestart >= limit.Occupied() {
		a.rights = float64(limit.Burst)
	}
	a.begun = true
}

func (a *allowance) refill(limit quota.Limit, used int, now types.Instant) {
	if a.refilledAt != 0 {
		perSecond := float64(limit.Rights-used) / limit.Period.Seconds()
		a.rights += perSecond * now.Sub(a.refilledAt).Seconds()
	}
	a.refilledAt = now
	a.rights = min(a.rights, float64(limit.Burst))
}
