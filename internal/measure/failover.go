package main

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
)

// Timing of a failover run.
const (
	writeTimeout  = 3 * time.Second      // of one write
	retryInterval = 2 * time.Millisecond // between two attempts to write
	healthyTime   = time.Second          // of writes without a fault before each fault
)

// writer writes rows one after the other and records the ids of the acknowledged
// ones.
type writer struct {
	lab          *lab.Lab
	conn         *pgx.Conn
	lastID       int64
	acknowledged []int64
}

// fault starts and ends a fault of a primary.
type fault struct {
	begin, end func(*lab.Target) error
}

var faults = map[string]fault{
	"kill": {
		begin: func(t *lab.Target) error { return t.Kill() },
		end:   func(t *lab.Target) error { return t.Restart() },
	},
	"freeze": {
		begin: func(t *lab.Target) error { return t.Freeze() },
		end:   func(t *lab.Target) error { return t.Thaw() },
	},
	"cut": {
		begin: func(t *lab.Target) error { return t.Cut() },
		end:   func(t *lab.Target) error { t.Heal(); return nil },
	},
}

// measureFailovers injects faults into the primary one after the other, prints the
// failover gaps, and fails if an acknowledged write was lost.
func measureFailovers(ctx context.Context, l *lab.Lab, name string, runs int) error {
	f, ok := faults[name]
	if !ok {
		return cmdline.UsageErrorf("fault %q must be kill, freeze or cut", name)
	}
	w := &writer{lab: l}
	defer w.close()
	if err := w.createTable(ctx); err != nil {
		return err
	}
	var gaps []time.Duration
	for run := range runs {
		gap, err := w.failover(ctx, f)
		if err != nil {
			return trace.Wrap(err, "run %d", run+1)
		}
		fmt.Printf("run %d: gap=%s\n", run+1, gap.Round(time.Millisecond))
		gaps = append(gaps, gap)
	}
	printDurations("failover gap after "+name, gaps)
	return w.checkAcknowledged(ctx)
}

// failover injects a fault into the primary, measures the time until the next
// acknowledged write, and waits until the old primary has rejoined as a replica.
func (w *writer) failover(ctx context.Context, f fault) (time.Duration, error) {
	for start := time.Now(); time.Since(start) < healthyTime; {
		w.write(ctx)
	}
	primary, err := w.lab.WaitPrimary(ctx, service, "")
	if err != nil {
		return 0, err
	}
	if err := f.begin(primary); err != nil {
		return 0, err
	}
	faultAt := time.Now()
	for !w.write(ctx) {
		if ctx.Err() != nil {
			return 0, trace.Wrap(ctx.Err())
		}
	}
	gap := time.Since(faultAt)
	if err := f.end(primary); err != nil {
		return 0, err
	}
	return gap, w.waitRejoined(ctx, primary.Member)
}

// waitRejoined waits until a member is in the group's term and has caught up with
// the other members.
func (w *writer) waitRejoined(ctx context.Context, member string) error {
	return w.lab.Wait(ctx, member+" to rejoin", func() bool {
		st, err := w.lab.Status(ctx)
		if err != nil {
			return false
		}
		for _, s := range st.Services {
			for _, t := range s.Targets {
				if s.Name == service && t.Name == member {
					return s.Phase == "serving" && t.Term == s.Term && !t.Failing && t.Behind == 0
				}
			}
		}
		return false
	})
}

// write writes the next row and reports whether it was acknowledged. After a failed
// write it closes the connection, so that the next write uses another proxy.
func (w *writer) write(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w.lastID++
	err := w.exec(ctx, "INSERT INTO orders (id, pieces) VALUES ($1, 1)", w.lastID)
	if err != nil {
		w.close()
		time.Sleep(retryInterval)
		return false
	}
	w.acknowledged = append(w.acknowledged, w.lastID)
	return true
}

// exec executes a statement, connecting to a proxy first if there is no connection.
func (w *writer) exec(ctx context.Context, sql string, args ...any) error {
	if w.conn == nil {
		proxy := w.lab.Proxies[int(w.lastID)%len(w.lab.Proxies)]
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://measure@%s/%s?sslmode=disable", proxy.CallerAddress, service))
		if err != nil {
			return trace.Wrap(err)
		}
		w.conn = conn
	}
	_, err := w.conn.Exec(ctx, sql, args...)
	return trace.Wrap(err)
}

func (w *writer) close() {
	if w.conn != nil {
		_ = w.conn.Close(context.Background()) // an error does not matter: it is not used again
		w.conn = nil
	}
}

func (w *writer) createTable(ctx context.Context) error {
	return w.exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id bigint PRIMARY KEY, pieces bigint)")
}

// checkAcknowledged reads all rows on the primary and returns an error if an
// acknowledged one is missing.
func (w *writer) checkAcknowledged(ctx context.Context) error {
	if err := w.createTable(ctx); err != nil { // opens a connection if there is none
		return err
	}
	rows, err := w.conn.Query(ctx, "SELECT id FROM orders")
	if err != nil {
		return trace.Wrap(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil {
		return trace.Wrap(err)
	}
	stored := make(map[int64]bool, len(ids))
	for _, id := range ids {
		stored[id] = true
	}
	lost := 0
	for _, id := range w.acknowledged {
		if !stored[id] {
			lost++
		}
	}
	fmt.Printf("acknowledged writes: %d, lost: %d\n", len(w.acknowledged), lost)
	if lost > 0 {
		return trace.Errorf("%d acknowledged writes were lost", lost)
	}
	return nil
}
