package session

import (
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxVisited bounds the requests of a queue that are looked at for each request started.
const maxVisited = 256

// next returns the request that is served first among those that ready holds for, without
// removing it. It considers the first request of each organisation.
func (q *queue) next(ready func(*request) bool) (*request, bool) {
	head, ok := q.peek()
	if !ok || ready(head) {
		return head, ok
	}
	var found *request
	seen := map[types.OrganisationName]bool{head.organisation: true}
	q.visit(func(r *request) bool {
		if !seen[r.organisation] && ready(r) {
			found = r
		}
		seen[r.organisation] = true
		return found == nil
	})
	return found, found != nil
}

// visit calls visit for the requests in the order in which they are served, until it
// returns false.
func (q *queue) visit(visit func(*request) bool) {
	visited, more := 0, true
	bounded := func(r *request) bool {
		visited++
		more = visit(r) && visited < maxVisited
		return more
	}
	q.timely.Visit(bounded)
	if more {
		q.late.Visit(bounded)
	}
}

// take removes a request that is started.
func (q *queue) take(r *request) {
	if r.late {
		q.late.Take(r.profile.Name, r.queueEntry)
	} else {
		q.timely.Take(r.profile.Name, r.queueEntry)
	}
	r.queueEntry = nil
}

// waiting returns how many requests of each organisation wait, in the order in which their
// first ones are served.
func (q *queue) waiting() []pool.Waiting {
	var out []pool.Waiting
	at := make(map[types.OrganisationName]int)
	q.visit(func(r *request) bool {
		i, ok := at[r.organisation]
		if !ok {
			i = len(out)
			at[r.organisation] = i
			out = append(out, pool.Waiting{Organisation: r.organisation})
		}
		out[i].Requests++
		return true
	})
	return out
}
