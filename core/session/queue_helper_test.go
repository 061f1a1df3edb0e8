package session

// pop removes and returns the next request.
func (q *queue) pop() *request {
	r, _ := q.first()
	q.take(r)
	return r
}
