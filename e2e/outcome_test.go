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

// outcomes are the ids of writes by what their caller was told.
type outcomes struct {
	mu      sync.Mutex
	taken   []int
	notRun  []int
	unknown int
}

func (o *outcomes) add(id int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		o.taken = append(o.taken, id)
	case errors.As(err, &pgErr) && strings.HasPrefix(pgErr.Message, "not run:"):
		o.notRun = append(o.notRun, id)
	default:
		o.unknown++
	}
}

func (o *outcomes) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.taken)
}

// writeAll writes rising ids through the proxies in turns until ctx ends.
func writeAll(ctx context.Context, l *lab.Lab, workers int, o *outcomes) *sync.WaitGroup {
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := i*workers + w
				o.add(id, insertOnce(context.Background(), l.Proxies[(w+i)%len(l.Proxies)], id))
				time.Sleep(writePause)
			}
		})
	}
	return &running
}

// TestOutcomesAreTrue writes from several callers while the primary is killed,
// or frozen until it is replaced, and a proxy is frozen beyond its lease. What
// was acknowledged must be there, and what was refused as not run must not.
func TestOutcomesAreTrue(t *testing.T) {
	for name, fault := range map[string]func(context.Context, *testing.T, *lab.Lab){
		"primary killed":         killPrimary,
		"primary and proxy held": holdPrimaryAndProxy,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, l := start(t, 3, 2)
			createTable(ctx, t, l.Proxies[0])
			o := &outcomes{}
			writing, end := context.WithCancel(ctx)
			running := writeAll(writing, l, 4, o)
			waitTaken(ctx, t, l, o, 40)
			fault(ctx, t, l)
			waitTaken(ctx, t, l, o, o.count()+40)
			end()
			running.Wait()
			checkOutcomes(ctx, t, l, o)
		})
	}
}

func waitTaken(ctx context.Context, t *testing.T, l *lab.Lab, o *outcomes, n int) {
	t.Helper()
	assert.NilError(t, l.Wait(ctx, "writes to be taken", func() bool { return o.count() >= n }))
}

func killPrimary(ctx context.Context, t *testing.T, l *lab.Lab) {
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Kill())
	_, err = l.WaitPrimary(ctx, service, primary.Member)
	assert.NilError(t, err)
}

func holdPrimaryAndProxy(ctx context.Context, t *testing.T, l *lab.Lab) {
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, l.Proxies[1].Freeze())
	assert.NilError(t, primary.Freeze())
	_, err = l.WaitPrimary(ctx, service, primary.Member)
	assert.NilError(t, err)
	assert.NilError(t, primary.Thaw())
	assert.NilError(t, l.Proxies[1].Thaw())
}

// checkOutcomes compares what callers were told with the rows of the table.
func checkOutcomes(ctx context.Context, t *testing.T, l *lab.Lab, o *outcomes) {
	t.Helper()
	rows, err := connect(ctx, t, l.Proxies[0], "").Query(ctx, "SELECT id FROM orders")
	assert.NilError(t, err)
	found := make(map[int]bool)
	for rows.Next() {
		var id int
		assert.NilError(t, rows.Scan(&id))
		found[id] = true
	}
	assert.NilError(t, rows.Err())
	for _, id := range o.taken {
		assert.Check(t, found[id], "order %d was acknowledged and is gone", id)
	}
	for _, id := range o.notRun {
		assert.Check(t, !found[id], "order %d was refused as not run and is there", id)
	}
	t.Logf("acknowledged %d, not run %d, unknown %d", len(o.taken), len(o.notRun), o.unknown)
}
