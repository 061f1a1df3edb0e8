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
	// requestLinesPerSecond bounds the log lines about single requests of a process.
	// The metrics still count every request.
	requestLinesPerSecond = 50
	// servedSampleInterval is the number of requests per logged one, among those that
	// were served in time on the first attempt. They are selected by a hash of the
	// request id, so that all processes log the same requests. A proxy that serves
	// 1,000 statements per second logs 4 of them per second.
	servedSampleInterval = 256
)

// decisionLog writes the log lines about decisions and served requests.
type decisionLog struct {
	host          types.HostID
	commonPairs   []any // key=value pairs at the start of every line
	now           func() time.Time
	windowStart   time.Time // start of the second that linesInWindow counts
	linesInWindow int       // lines about single requests in that second
	suppressed    int       // lines suppressed since the last one written
}

func newDecisionLog(o Options, now func() time.Time) *decisionLog {
	return &decisionLog{
		host:        o.Host,
		commonPairs: []any{"role", o.Role, "host", o.Host, "availability_zone", o.AvailabilityZone},
		now:         now,
	}
}

func (l *decisionLog) logDecision(d *effect.Decide) {
	if isPerRequest(d.Kind) && !l.allow() {
		l.suppressed++
		return
	}
	klog.InfoS(string(d.Kind), l.pairs(d)...)
}

// pairs returns the key=value pairs of a decision, without keys that do not apply.
func (l *decisionLog) pairs(d *effect.Decide) []any {
	out := append([]any(nil), l.commonPairs...)
	if d.Service != "" {
		out = append(out, "service", d.Service)
	}
	if d.Target != "" {
		out = append(out, "target", d.Target)
	}
	if d.Host != "" {
		out = append(out, "about_host", d.Host)
	}
	if d.Organisation != "" {
		out = append(out, "organisation", d.Organisation)
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
	out = l.appendSuppressed(out)
	return append(out, "reason", oneLine(d.Reason))
}

// appendSuppressed appends the number of lines suppressed since the last one written,
// if any, and resets it.
func (l *decisionLog) appendSuppressed(pairs []any) []any {
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

// logServed writes a line about a request that was answered, if it was late, was
// retried or belongs to the sample.
func (l *decisionLog) logServed(o *effect.Observation) {
	notable := o.Late > 0 || o.Retries > 0
	if o.Request == "" || o.Refusal != 0 || !notable && xxhash.Sum64String(o.Request)%servedSampleInterval != 0 {
		return
	}
	if !l.allow() {
		l.suppressed++
		return
	}
	klog.InfoS("request_served", l.servedPairs(o)...)
}

func (l *decisionLog) servedPairs(o *effect.Observation) []any {
	out := append([]any(nil), l.commonPairs...)
	out = append(out, "request", o.Request, "service", o.Service, "profile", o.Profile, "target", o.Target,
		"replica", o.Replica, "view", o.ViewVersion, "tries", o.Retries,
		"queued_ms", elapsedMillis(o.FloorKnownAt, o.AssignedAt), "target_ms", elapsedMillis(o.AssignedAt, o.AnsweredAt),
		"took_ms", elapsedMillis(o.ArrivedAt, o.DoneAt), "late_ms", o.Late.Milliseconds())
	if o.Floor != (types.LogPos{}) {
		out = append(out, "floor", o.Floor.String())
	}
	return l.appendSuppressed(out)
}

// elapsedMillis returns the time between two instants in ms, or -1 if one of them was
// not reached.
func elapsedMillis(from, to types.Instant) int64 {
	if from == 0 || to < from {
		return -1
	}
	return to.Sub(from).Milliseconds()
}

// Reason returns the message of an error on one line, for logs.
func Reason(err error) string { return oneLine(trace.UserMessage(err)) }

// oneLine replaces line breaks with spaces, so that each event is one line.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// isPerRequest reports whether decisions of a kind are made for single requests.
func isPerRequest(k effect.Decision) bool {
	return k == effect.DecideRefuse || k == effect.DecideRetry || k == effect.DecideRequeue
}

// allow reports whether the rate limit permits another line about a single request.
func (l *decisionLog) allow() bool {
	now := l.now()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.linesInWindow = now, 0
	}
	l.linesInWindow++
	return l.linesInWindow <= requestLinesPerSecond
}
