package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits for the detection of a primary that answers probes but no requests.
const (
	// suspectAfter is the shortest time without an answer to a request after which
	// the primary becomes suspect, and the members are probed for the current one.
	// suspectMargin multiplies the mean latency; the longer time applies.
	suspectAfter  = 250 * time.Millisecond
	suspectMargin = 3
	// silentAfter is how long requests must have been without any answer.
	// Long statements take up to 0.4 s, and those before them in a target's queue 0.3 s.
	silentAfter = time.Second
	// silentRequests is how many requests must be unanswered: one may be a long
	// statement.
	silentRequests = 2
	// silentWindow is how long unanswered requests count after the last one was
	// sent.
	silentWindow = 2 * time.Second
)

// silenceDetector counts the requests that were sent to a primary since its last
// answer.
type silenceDetector struct {
	first, last types.Instant
	requests    int
}

// requestSent records that a request was sent.
func (q *silenceDetector) requestSent(now types.Instant) {
	if q.requests == 0 || now.Sub(q.last) >= silentWindow {
		*q = silenceDetector{first: now}
	}
	q.last = now
	q.requests++
}

// answerReceived records an answer. A rejection says nothing about the other
// requests: a primary that can't complete any of them also rejects new ones for
// lack of capacity. completed is false for a rejection.
func (q *silenceDetector) answerReceived(completed bool) {
	if completed || q.requests <= 1 {
		*q = silenceDetector{}
		return
	}
	q.requests--
}

// silentSince returns when the first unanswered request was sent, and whether the
// primary counts as silent.
func (q *silenceDetector) silentSince(now types.Instant) (types.Instant, bool) {
	silent := q.requests >= silentRequests && now.Sub(q.first) >= silentAfter && now.Sub(q.last) < silentWindow
	return q.first, silent
}

// suspectDeadline returns when an unanswered request makes its primary suspect,
// and whether that applies. For a primary that has not answered steadily, as
// after a restart of the whole system, only the request's timeout applies.
func (s *Shard) suspectDeadline(r *request) (types.Instant, bool) {
	t := r.service.target(r.target)
	if r.replica || r.slowChecked || !t.steady(s.now) || !r.service.managed(s.view) {
		return 0, false
	}
	return r.sentAt.Add(max(suspectAfter, suspectMargin*t.stats.Latency())), true
}
