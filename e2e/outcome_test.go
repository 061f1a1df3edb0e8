package e2e

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

// outcomes records the ids of writes by the outcome that was reported to the caller.
type outcomes struct {
	mu           sync.Mutex
	acknowledged []int
	notRun       []int
	unknown      int
}

// add records the outcome of one write.
func (o *outcomes) add(id int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		o.acknowledged = append(o.acknowledged, id)
	case errors.As(err, &pgErr) && strings.HasPrefix(pgErr.Message, "not run:"):
		o.notRun = append(o.notRun, id)
	default:
		o.unknown++
	}
}

// count returns the number of acknowledged writes.
func (o *outcomes) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acknowledged)
}

// startWriters starts workers that write increasing ids through the proxies in turn
// until ctx ends.
func startWriters(ctx context.Context, l *lab.Lab, workers int, o *outcomes) *sync.WaitGroup {
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := i*workers + w
				o.add(id, insertOnce(context.Background(), l.Proxies[(w+i)%len(l.Proxies)], id))
				time.Sleep(writeInterval)
			}
		})
	}
	return &running
}

// TestOutcomesAreTrue writes from several callers while the primary is killed, or
// while the primary is frozen until it is replaced and a proxy is frozen until after
// its lease has expired. All acknowledged writes must be stored, and none that was
// refused as not run.
func TestOutcomesAreTrue(t *testing.T) {
	for name, fault := range map[string]func(context.Context, *testing.T, *lab.Lab){
		"primary killed":           killPrimary,
		"primary and proxy frozen": freezePrimaryAndProxy,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, l := start(t, 3, 2)
			createTable(ctx, t, l.Proxies[0])
			o := &outcomes{}
			writing, end := context.WithCancel(ctx)
			running := startWriters(writing, l, 4, o)
			waitAcknowledged(ctx, t, l, o, 40)
			fault(ctx, t, l)
			waitAcknowledged(ctx, t, l, o, o.count()+40)
			end()
			running.Wait()
			checkOutcomes(ctx, t, l, o)
		})
	}
}

// waitAcknowledged waits until at least n writes are acknowledged.
func waitAcknowledged(ctx context.Context, t *testing.T, l *lab.Lab, o *outcomes, n int) {
	t.Helper()
	assert.NilError(t, l.Wait(ctx, "writes to be acknowledged", func() bool { return o.count() >= n }))
}

func killPrimary(ctx context.Context, t *testing.T, l *lab.Lab) {
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Kill())
	_, err = l.WaitPrimary(ctx, service, primary.Member)
	assert.NilError(t, err)
}

func freezePrimaryAndProxy(ctx context.Context, t *testing.T, l *lab.Lab) {
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, l.Proxies[1].Freeze())
	assert.NilError(t, primary.Freeze())
	_, err = l.WaitPrimary(ctx, service, primary.Member)
	assert.NilError(t, err)
	assert.NilError(t, primary.Thaw())
	assert.NilError(t, l.Proxies[1].Thaw())
}

// checkOutcomes compares the reported outcomes with the rows of the table.
func checkOutcomes(ctx context.Context, t *testing.T, l *lab.Lab, o *outcomes) {
	t.Helper()
	rows, err := connect(ctx, t, l.Proxies[0], "").Query(ctx, "SELECT id FROM orders")
	assert.NilError(t, err)
	stored := make(map[int]bool)
	for rows.Next() {
		var id int
		assert.NilError(t, rows.Scan(&id))
		stored[id] = true
	}
	assert.NilError(t, rows.Err())
	for _, id := range o.acknowledged {
		assert.Check(t, stored[id], "order %d was acknowledged but is not stored", id)
	}
	for _, id := range o.notRun {
		assert.Check(t, !stored[id], "order %d was refused as not run but is stored", id)
	}
	t.Logf("acknowledged %d, not run %d, unknown %d", len(o.acknowledged), len(o.notRun), o.unknown)
}
