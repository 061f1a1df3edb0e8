package runtime

import (
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// leaseQueue holds the lease requests that wait for the control loop, the latest one of
// each proxy, in the order in which the proxies began to wait. A host that was slow so
// does not handle requests whose answers would come too late. Adding never blocks.
type leaseQueue struct {
	mu       sync.Mutex
	order    []types.HostID
	latest   map[types.HostID]proto.LeaseRequest
	notEmpty chan struct{} // holds a value while requests wait
}

func newLeaseQueue() *leaseQueue {
	return &leaseQueue{latest: make(map[types.HostID]proto.LeaseRequest), notEmpty: make(chan struct{}, 1)}
}

// add adds a request in place of an earlier one of the same proxy.
func (q *leaseQueue) add(r proto.LeaseRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, waits := q.latest[r.Proxy]; !waits {
		q.order = append(q.order, r.Proxy)
	}
	q.latest[r.Proxy] = r
	q.signal()
}

func (q *leaseQueue) signal() {
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// ready returns a channel that holds a value while requests wait.
func (q *leaseQueue) ready() <-chan struct{} { return q.notEmpty }

// next removes the first request and returns its event.
func (q *leaseQueue) next() (event.Event, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) == 0 {
		return nil, false
	}
	proxy := q.order[0]
	q.order = q.order[1:]
	r := q.latest[proxy]
	delete(q.latest, proxy)
	if len(q.order) > 0 {
		q.signal()
	}
	return event.LeaseRequested{Request: r}, true
}
