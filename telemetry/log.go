package telemetry

import (
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// requestLinesPerSecond bounds the log lines about single requests: refusals
// and retries. The metrics count all of them.
const requestLinesPerSecond = 20

// decisionLog writes one line for each decision.
type decisionLog struct {
	fixed      []any // key=value pairs that every line begins with
	now        func() time.Time
	second     time.Time // begin of the second that lines were counted in
	lines      int       // lines about requests in that second
	suppressed int       // lines left out since the last one
}

func newDecisionLog(o Options, now func() time.Time) *decisionLog {
	return &decisionLog{
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
	if l.suppressed > 0 {
		out = append(out, "suppressed_before", l.suppressed)
		l.suppressed = 0
	}
	return append(out, "reason", oneLine(d.Reason))
}

// Reason returns the message of an error on one line, for logs.
func Reason(err error) string { return oneLine(trace.UserMessage(err)) }

// oneLine replaces line breaks, so that an event stays on its line.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// aboutRequest reports whether decisions of a kind come with single requests.
func aboutRequest(k effect.Decision) bool {
	return k == effect.DecideRefuse || k == effect.DecideRetry
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
