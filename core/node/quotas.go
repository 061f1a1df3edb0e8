package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// maxQuotaUses bounds the organisations in a lease request, unless it names all.
	maxQuotaUses = 64
	// quotaRepeat is the minimum time between two requests that name an organisation whose
	// callers don't wait.
	quotaRepeat = 100 * time.Millisecond
	// idleQuotaRepeat is that time for one of which no right is used.
	idleQuotaRepeat = 2 * time.Second
	// fullQuotasTimeout is how long the grant for a request that names all rights may take.
	fullQuotasTimeout = 600 * time.Millisecond
	// spentDuration is how long an answer counts that there are no more rights: until the
	// next regular request.
	spentDuration = 300 * time.Millisecond
	// maxUptime bounds the uptime in requests.
	maxUptime = time.Minute
)

// quotas holds this proxy's parts of the limits of organisations, and decides which of
// them a lease request names.
type quotas struct {
	process   uint64
	startedAt types.Instant

	published map[types.OrganisationName]types.Quota // never modified
	records   map[types.OrganisationName]*quotaRecord
	uses      map[types.OrganisationName]event.QuotaUse // sum over the shards

	incomplete bool          // control may not know what the proxy holds
	fullSeq    uint64        // of the last request that named all; earlier grants bring no parts
	fullSentAt types.Instant // when it was sent
}

// quotaRecord is the part of one organisation's limit.
type quotaRecord struct {
	rights     int
	replaced   int // an earlier, larger part that shards may still act on
	replacedAt types.Instant

	unconfirmed bool   // control may not know that this part was applied
	namedSeq    uint64 // of the last request that named the part
	namedAt     types.Instant
	namedHeld   int // what that request said that the proxy holds
}

// start begins without any part.
func (q *quotas) start(seed uint64, now types.Instant) {
	q.process, q.startedAt = seed, now
	q.records = make(map[types.OrganisationName]*quotaRecord)
	q.incomplete = true
}

// setUses sets what the shards use and lack. It reports whether operations wait.
func (q *quotas) setUses(uses map[types.OrganisationName]event.QuotaUse) bool {
	q.uses = uses
	for _, u := range uses {
		if u.Waiting > 0 {
			return true
		}
	}
	return false
}

// expire drops all parts once they have ended.
func (q *quotas) expire(now, leaseUntil types.Instant) {
	if len(q.records) == 0 || now < quota.PartsUntil(leaseUntil) {
		return
	}
	clear(q.records)
	q.published, q.incomplete, q.fullSentAt = nil, true, 0
}

// dropUnlimited gives up the parts of organisations without a limit.
func (q *quotas) dropUnlimited(c *types.Config, now types.Instant) {
	for name, r := range q.records {
		if r.rights > 0 && (c == nil || c.Organisations[name].Rate <= 0) {
			q.published = maps.Clone(q.published)
			q.set(proto.QuotaGrant{Organisation: name}, now)
		}
	}
}

// apply takes the parts of a grant whose lease was accepted. leaseUntil is the end of the
// lease before it. It reports whether a part has changed.
func (q *quotas) apply(g proto.LeaseGrant, now, leaseUntil types.Instant) bool {
	q.expire(now, leaseUntil)
	if g.Seq < q.fullSeq {
		return false
	}
	if g.Seq == q.fullSeq {
		q.incomplete = false
	}
	if g.NameQuotas {
		q.incomplete, q.fullSentAt = true, 0
		return false
	}
	for _, r := range q.records {
		if r.namedSeq == g.Seq {
			r.unconfirmed = false
		}
	}
	if len(g.Quotas) == 0 {
		return false
	}
	q.published = maps.Clone(q.published)
	if q.published == nil {
		q.published = make(map[types.OrganisationName]types.Quota)
	}
	for _, part := range g.Quotas {
		q.set(part, now)
	}
	return true
}

// refused notes that a control host which is not the leader answered a request.
func (q *quotas) refused(g proto.LeaseGrant) {
	if g.Seq == q.fullSeq {
		q.fullSentAt = 0
	}
}

// set applies one part. Parts without rights are kept while control has none left.
func (q *quotas) set(g proto.QuotaGrant, now types.Instant) {
	r := q.record(g.Organisation)
	if g.Rights != r.rights {
		r.replaced, r.replacedAt = r.lately(now), now
		r.rights = g.Rights
	}
	r.unconfirmed, r.namedSeq = true, 0 // control sends what differs from what it was told
	part := types.Quota{Rights: g.Rights}
	if g.Spent {
		part.SpentUntil = now.Add(spentDuration)
	}
	q.published[g.Organisation] = part
	if part == (types.Quota{}) {
		delete(q.published, g.Organisation)
	}
}

// lately returns the most rights that a shard may still act on.
func (r *quotaRecord) lately(now types.Instant) int {
	if r.replacedAt != 0 && now.Sub(r.replacedAt) < replacedShareWindow {
		return max(r.rights, r.replaced)
	}
	return r.rights
}

func (q *quotas) record(name types.OrganisationName) *quotaRecord {
	r := q.records[name]
	if r == nil {
		r = &quotaRecord{}
		q.records[name] = r
	}
	return r
}

// fill adds to a request the organisations whose parts change or have to change.
func (q *quotas) fill(r *proto.LeaseRequest, now, leaseUntil types.Instant) {
	q.expire(now, leaseUntil)
	r.Process, r.Uptime = q.process, min(now.Sub(q.startedAt), maxUptime)
	if q.incomplete {
		if q.fullSentAt != 0 && now.Sub(q.fullSentAt) < fullQuotasTimeout {
			return
		}
		r.QuotasFull, q.fullSeq, q.fullSentAt = true, r.Seq, now
	}
	for name, use := range q.uses {
		if use != (event.QuotaUse{}) {
			q.record(name)
		}
	}
	var urgent, others []proto.QuotaUse
	for name, record := range q.records {
		use := q.uses[name]
		switch {
		case use.Waiting > 0 || record.unconfirmed:
			urgent = append(urgent, q.name(name, record, use, now))
		case r.QuotasFull || record.due(use, now):
			others = append(others, q.name(name, record, use, now))
		case use == (event.QuotaUse{}) && record.lately(now) == 0:
			delete(q.records, name)
		}
	}
	byName := func(a, b proto.QuotaUse) int { return cmp.Compare(a.Organisation, b.Organisation) }
	slices.SortFunc(urgent, byName)
	slices.SortFunc(others, byName)
	named := append(urgent, others...)
	if !r.QuotasFull {
		named = named[:min(len(named), maxQuotaUses)]
	}
	for _, u := range named {
		record := q.records[u.Organisation]
		record.namedSeq, record.namedAt, record.namedHeld = r.Seq, now, max(u.Part, u.Used)
	}
	r.QuotaUses = named
}

// name returns what a request says of an organisation.
func (q *quotas) name(name types.OrganisationName, r *quotaRecord, use event.QuotaUse, now types.Instant) proto.QuotaUse {
	return proto.QuotaUse{Organisation: name, Part: r.lately(now), Used: use.Used, Waiting: use.Waiting + use.Refused}
}

// due reports whether control should learn of an organisation although nobody waits: too
// few or too many rights are free, or the proxy holds less than it said.
func (r *quotaRecord) due(use event.QuotaUse, now types.Instant) bool {
	part := r.lately(now)
	switch since := now.Sub(r.namedAt); {
	case use.Refused > 0:
		return true
	case use.Used == 0:
		return part > 0 && since >= idleQuotaRepeat
	case since < quotaRepeat:
		return false
	}
	ahead := quota.Ahead(use.Used)
	free := part - use.Used
	return 2*free <= ahead || free > ahead || max(part, use.Used) < r.namedHeld
}
