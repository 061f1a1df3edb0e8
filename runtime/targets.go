package runtime

import (
	"context"
	"sync"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

// targetJob is one operation for a target and where its result goes.
type targetJob struct {
	operation types.Operation
	timeout   time.Duration
	done      func(types.Result, error)
}

// targetCalls runs single operations on targets, for probes and for control.
// Each target has one goroutine and one connection, which is opened when
// needed and dropped after an error.
type targetCalls struct {
	dialer  TargetDialer
	mu      sync.Mutex
	workers map[targetKey]chan targetJob
}

// targetKey tells targets apart, also when one comes back at a new address.
type targetKey struct {
	ref  types.TargetRef
	addr types.Address
}

// jobQueue is how many operations may wait for one target.
const jobQueue = 4

// targetIdle is how long a connection without operations is kept. Probes that go
// on come within a second.
const targetIdle = 3 * time.Second

func newTargetCalls(d TargetDialer) *targetCalls {
	return &targetCalls{dialer: d, workers: make(map[targetKey]chan targetJob)}
}

// do hands an operation to the target's goroutine. done is called once, on
// another goroutine unless the target's queue is full.
func (c *targetCalls) do(ctx context.Context, key targetKey, job targetJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	jobs, ok := c.workers[key]
	if !ok {
		jobs = make(chan targetJob, jobQueue)
		c.workers[key] = jobs
		go c.work(ctx, key, jobs)
	}
	select {
	case jobs <- job:
	default:
		go job.done(types.Result{}, trace.LimitExceeded("%d operations wait for target %s", jobQueue, key.ref))
	}
}

// work runs the operations of one target until it has been idle for long.
func (c *targetCalls) work(ctx context.Context, key targetKey, jobs chan targetJob) {
	var conn TargetConn
	defer func() { closeConn(conn) }()
	idle := time.NewTimer(targetIdle)
	defer idle.Stop()
	for {
		select {
		case job := <-jobs:
			conn = c.run(ctx, key, conn, job)
			idle.Reset(targetIdle)
		case <-idle.C:
			if c.retire(key, jobs) {
				return
			}
			idle.Reset(targetIdle)
		case <-ctx.Done():
			return
		}
	}
}

// retire forgets the target's goroutine unless an operation came meanwhile.
func (c *targetCalls) retire(key targetKey, jobs chan targetJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(jobs) > 0 {
		return false
	}
	delete(c.workers, key)
	return true
}

// run does one operation and returns the connection for the next, or nil.
func (c *targetCalls) run(ctx context.Context, key targetKey, conn TargetConn, job targetJob) TargetConn {
	ctx, cancel := context.WithTimeout(ctx, job.timeout)
	defer cancel()
	if conn == nil {
		var err error
		if conn, err = c.dialer.Dial(ctx, key.ref, key.addr); err != nil {
			job.done(types.Result{}, trace.Wrap(err, "dialing target %s at %s", key.ref, key.addr))
			return nil
		}
	}
	results, _, err := conn.Exchange(ctx, []types.Operation{job.operation})
	if err == nil && len(results) != 1 {
		err = trace.BadParameter("target %s gave %d results for one operation", key.ref, len(results))
	}
	if err != nil {
		conn.Close()
		job.done(types.Result{}, trace.Wrap(err, "asking target %s", key.ref))
		return nil
	}
	job.done(results[0], nil)
	return conn
}

func closeConn(conn TargetConn) {
	if conn != nil {
		conn.Close()
	}
}
