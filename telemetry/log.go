package telemetry

import (
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

const (
	// requestLinesPerSecond bounds the log lines about single requests of one
	// process. Chosen, not measured. The metrics count all requests.
	requestLinesPerSecond = 50
	// servedSample is how many requests there are for one whose line is written
	// although it was served in time at the first try. It is chosen by a hash of
	// the id, so that all processes write about the same ones. At the 1,000
	// statements a second of a proxy of letter 1 these are 4 lines a second.
	servedSample = 256
)

// decisionLog writes one line for each decision.
type decisionLog struct {
	host       types.HostID
	fixed      []any // key=value pairs that every line begins with
	now        func() time.Time
	second     time.Time // begin of the second that lines were counted in
	lines      int       // lines about requests in that second
	suppressed int       // lines left out since the last one
}

func newDecisionLog(o Options, now func() time.Time) *decisionLog {
	return &decisionLog{
		host:  o.Host,
		fixed: []any{"role", o.Role, "host", o.Host, "availability_zone", o.AvailabilityZone},
		now:   now,
	}
}

func (l *decisionLog) decision(d *effect.Decide) {
	if aboutRequest(d.Kind) && !l.allow() {
		l.suppressed++
		return
	}
	klog.InfoS(string(d.Kind), l.pairs(d)...)
}

// pairs returns the key=value pairs of a decision; what does not apply is left
// out.
func (l *decisionLog) pairs(d *effect.Decide) []any {
	out := append([]any(nil), l.fixed...)
	if d.Service != "" {
		out = append(out, "service", d.Service)
	}
	if d.Target != "" {
		out = append(out, "target", d.Target)
	}
	if d.Host != "" {
		out = append(out, "about_host", d.Host)
	}
	if d.Term != 0 {
		out = append(out, "term", uint64(d.Term))
	}
	if d.Version != 0 {
		out = append(out, "version", d.Version)
	}
	if d.Request != "" {
		out = append(out, "request", d.Request)
	}
	if d.Basis != nil {
		out = append(out, basisPairs(d.Basis)...)
	}
	out = l.countSuppressed(out)
	return append(out, "reason", oneLine(d.Reason))
}

// countSuppressed adds how many lines were left out since the last one.
func (l *decisionLog) countSuppressed(pairs []any) []any {
	if l.suppressed > 0 {
		pairs = append(pairs, "suppressed_before", l.suppressed)
		l.suppressed = 0
	}
	return pairs
}

func basisPairs(b *effect.Basis) []any {
	out := []any{
		"view", b.ViewVersion, "config", b.ConfigVersion, "lease_left_ms", b.LeaseLeft.Milliseconds(),
		"waited_ms", b.Elapsed.Milliseconds(), "waiting", b.QueuedRequests, "tries", b.Retries,
	}
	if b.Cause != "" {
		out = append(out, "cause", string(b.Cause))
	}
	if b.PositionAge >= 0 {
		out = append(out, "position_age_ms", b.PositionAge.Milliseconds())
	}
	if b.Floor != (types.LogPos{}) {
		out = append(out, "floor", b.Floor.String())
	}
	return out
}

// served writes a line about a request that was answered, if it was late or
// tried again, or belongs to the sample.
func (l *decisionLog) served(o *effect.Observation) {
	notable := o.Late > 0 || o.Retries > 0
	if o.Request == "" || o.Refusal != 0 || !notable && xxhash.Sum64String(o.Request)%servedSample != 0 {
		return
	}
	if !l.allow() {
		l.suppressed++
		return
	}
	klog.InfoS("request_served", l.servedPairs(o)...)
}

func (l *decisionLog) servedPairs(o *effect.Observation) []any {
	out := append([]any(nil), l.fixed...)
	out = append(out, "request", o.Request, "service", o.Service, "profile", o.Profile, "target", o.Target,
		"replica", o.Replica, "view", o.ViewVersion, "tries", o.Retries,
		"queued_ms", between(o.FloorKnownAt, o.AssignedAt), "target_ms", between(o.AssignedAt, o.AnsweredAt),
		"took_ms", between(o.ArrivedAt, o.DoneAt), "late_ms", o.Late.Milliseconds())
	if o.Floor != (types.LogPos{}) {
		out = append(out, "floor", o.Floor.String())
	}
	return l.countSuppressed(out)
}

// between returns the time between two instants in ms, or -1 if one was not
// reached.
func between(from, to types.Instant) int64 {
	if from == 0 || to < from {
		return -1
	}
	return to.Sub(from).Milliseconds()
}

// Reason returns the message of an error on one line, for logs.
func Reason(err error) string { return oneLine(trace.UserMessage(err)) }

// oneLine replaces line breaks, so that an event stays on its line.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// aboutRequest reports whether decisions of a kind come with single requests.
func aboutRequest(k effect.Decision) bool {
	return k == effect.DecideRefuse || k == effect.DecideRetry || k == effect.DecideRequeue
}

// allow reports whether another line about a request fits in this second.
func (l *decisionLog) allow() bool {
	now := l.now()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	l.lines++
	return l.lines <= requestLinesPerSecond
}
