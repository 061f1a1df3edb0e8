package runtime

import (
	"context"
	"sync"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/contain"
	"github.com/gravitational/trace"
)

// targetJob is one operation for a target and the callback for its result.
type targetJob struct {
	operation  types.Operation
	timeout    time.Duration
	closeAfter bool // the connection is closed after the operation
	done       func(types.Result, error)
}

// targetCalls executes single operations on targets, for probes and for calls of
// control hosts. Each target has one goroutine and one connection, which is opened
// when needed and closed after an error.
type targetCalls struct {
	dialer  TargetDialer
	mu      sync.Mutex
	workers map[targetKey]chan targetJob
}

// targetKey identifies a target at an address: a target that returns at a new
// address gets a new goroutine and connection.
type targetKey struct {
	ref  types.TargetRef
	addr types.Address
}

// maxQueuedJobs is how many operations may wait for one target.
const maxQueuedJobs = 4

// targetIdleTimeout is how long a connection without operations is kept open. It counts
// toward the target's limit, and is opened again within 12 ms. Targets that are probed
// all the time get the next probe within 100 ms.
const targetIdleTimeout = 300 * time.Millisecond

func newTargetCalls(d TargetDialer) *targetCalls {
	return &targetCalls{dialer: d, workers: make(map[targetKey]chan targetJob)}
}

// submit queues an operation for the target's goroutine. job.done is called on
// another goroutine, at most once: not if ctx ends first.
func (c *targetCalls) submit(ctx context.Context, key targetKey, job targetJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	jobs, ok := c.workers[key]
	if !ok {
		jobs = make(chan targetJob, maxQueuedJobs)
		c.workers[key] = jobs
		go c.runWorker(ctx, key, jobs)
	}
	select {
	case jobs <- job:
	default:
		go job.done(types.Result{}, trace.LimitExceeded("%d operations wait for target %s", maxQueuedJobs, key.ref))
	}
}

// runWorker executes the operations of one target until it has been idle for
// targetIdleTimeout.
func (c *targetCalls) runWorker(ctx context.Context, key targetKey, jobs chan targetJob) {
	var conn TargetConn
	defer func() { closeConn(conn) }()
	idle := time.NewTimer(targetIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case job := <-jobs:
			conn = c.execute(ctx, key, conn, job)
			idle.Reset(targetIdleTimeout)
		case <-idle.C:
			if c.retireWorker(key, jobs) {
				return
			}
			idle.Reset(targetIdleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// retireWorker removes the target's goroutine unless an operation was queued in the
// meantime.
func (c *targetCalls) retireWorker(key targetKey, jobs chan targetJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(jobs) > 0 {
		return false
	}
	delete(c.workers, key)
	return true
}

// execute executes one operation and returns the connection for the next one, or
// nil.
func (c *targetCalls) execute(ctx context.Context, key targetKey, conn TargetConn, job targetJob) TargetConn {
	ctx, cancel := context.WithTimeout(ctx, job.timeout)
	defer cancel()
	if conn == nil {
		var err error
		if conn, err = dialTarget(ctx, c.dialer, key.ref, key.addr, ""); err != nil {
			job.done(types.Result{}, trace.Wrap(err, "dialing target %s at %s", key.ref, key.addr))
			return nil
		}
	}
	results, _, err := exchangeWith(ctx, conn, []types.Operation{job.operation})
	if err == nil && len(results) != 1 {
		err = trace.BadParameter("target %s returned %d results for one operation", key.ref, len(results))
	}
	if err != nil {
		conn.Close()
		job.done(types.Result{}, trace.Wrap(err, "executing an operation on target %s at %s", key.ref, key.addr))
		return nil
	}
	if job.closeAfter {
		conn.Close()
		conn = nil
	}
	job.done(results[0], nil)
	return conn
}

// dialTarget opens a connection to a target. A panic of the dialer is an error.
func dialTarget(
	ctx context.Context, d TargetDialer, ref types.TargetRef, addr types.Address, organisation types.OrganisationName,
) (conn TargetConn, err error) {
	err = contain.Call("dialing target "+ref.String(), func() (err error) {
		conn, err = d.Dial(ctx, ref, addr, organisation)
		return err
	})
	return conn, err
}

// exchangeWith executes operations on a connection and reports whether anything may
// have been sent. After a panic it may have been.
func exchangeWith(ctx context.Context, conn TargetConn, ops []types.Operation) (results []types.Result, sent bool, err error) {
	sent = true
	err = contain.Call("an exchange with a target", func() (err error) {
		results, sent, err = conn.Exchange(ctx, ops)
		return err
	})
	return results, sent, err
}

func closeConn(conn TargetConn) {
	if conn != nil {
		conn.Close()
	}
}
