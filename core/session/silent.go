package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Bounds of a primary that answers probes but no requests.
const (
	// suspectAfter is the least time that a request goes without an answer until
	// the members are asked which of them leads, suspectMargin how many times the
	// mean time of an answer it goes.
	suspectAfter  = 250 * time.Millisecond
	suspectMargin = 3
	// silentAfter is how long requests have to go without any answer. Statements
	// on the platforms at hand take up to 0.4 s, and those before them in a
	// target's queue 0.3 s.
	silentAfter = time.Second
	// silentRequests is how many requests have to: one may be a long statement.
	silentRequests = 2
	// silentWindow is how long requests count that no other one follows.
	silentWindow = 2 * time.Second
)

// silenceDetector counts the requests that went to a primary since its last answer.
type silenceDetector struct {
	first, last types.Instant
	requests    int
}

// requestSent takes in that a request was sent.
func (q *silenceDetector) requestSent(now types.Instant) {
	if q.requests == 0 || now.Sub(q.last) >= silentWindow {
		*q = silenceDetector{first: now}
	}
	q.last = now
	q.requests++
}

// answerReceived takes in an answer. One that rejects a request shows nothing of the
// others: a primary without an answer for any of them has no room for more.
func (q *silenceDetector) answerReceived(ran bool) {
	if ran || q.requests <= 1 {
		*q = silenceDetector{}
		return
	}
	q.requests--
}

// silentSince returns when the first request was sent that got no answer, if the
// primary counts as silent.
func (q *silenceDetector) silentSince(now types.Instant) (types.Instant, bool) {
	silent := q.requests >= silentRequests && now.Sub(q.first) >= silentAfter && now.Sub(q.last) < silentWindow
	return q.first, silent
}

// suspectDeadline returns when an unanswered request makes its primary suspect, and
// whether that is still to come. A primary that has not answered steadily, as after
// a restart of everything, is left to the request's timeout.
func (s *Shard) suspectDeadline(r *request) (types.Instant, bool) {
	t := r.service.target(r.target)
	if r.replica || r.slowChecked || !t.steady(s.now) || !r.service.managed(s.view) {
		return 0, false
	}
	return r.sentAt.Add(max(suspectAfter, suspectMargin*t.stats.Latency())), true
}
