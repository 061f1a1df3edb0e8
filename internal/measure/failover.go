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
	writeTimeout = 3 * time.Second
	writePause   = 2 * time.Millisecond
	settleTime   = time.Second // of normal work between two failures
)

// writer writes one row after the other and keeps the ids of those that were
// acknowledged.
type writer struct {
	lab   *lab.Lab
	conn  *pgx.Conn
	next  int64
	taken []int64
}

// fault is a way in which a primary fails, and how it comes back.
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

// failovers brings about one failure of the primary after the other and prints
// the gaps, and whether an acknowledged write was lost.
func failovers(ctx context.Context, l *lab.Lab, name string, runs int) error {
	f, ok := faults[name]
	if !ok {
		return cmdline.Usage("fault %q must be kill, freeze or cut", name)
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
	printFigures("failover gap after "+name, gaps)
	return w.checkTaken(ctx)
}

// failover fails the primary, measures the gap, and brings the old primary
// back as a replica.
func (w *writer) failover(ctx context.Context, f fault) (time.Duration, error) {
	for began := time.Now(); time.Since(began) < settleTime; {
		w.write(ctx)
	}
	primary, err := w.lab.WaitPrimary(ctx, service, "")
	if err != nil {
		return 0, err
	}
	if err := f.begin(primary); err != nil {
		return 0, err
	}
	failed := time.Now()
	for !w.write(ctx) {
		if ctx.Err() != nil {
			return 0, trace.Wrap(ctx.Err())
		}
	}
	gap := time.Since(failed)
	if err := f.end(primary); err != nil {
		return 0, err
	}
	return gap, w.waitRejoined(ctx, primary.Member)
}

// waitRejoined waits until a member follows in the group's term and holds what
// the others hold.
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

// write writes the next row and reports whether it was acknowledged. After a
// failure the next write goes through another proxy.
func (w *writer) write(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w.next++
	err := w.exec(ctx, "INSERT INTO orders (id, pieces) VALUES ($1, 1)", w.next)
	if err != nil {
		w.close()
		time.Sleep(writePause)
		return false
	}
	w.taken = append(w.taken, w.next)
	return true
}

func (w *writer) exec(ctx context.Context, sql string, args ...any) error {
	if w.conn == nil {
		proxy := w.lab.Proxies[int(w.next)%len(w.lab.Proxies)]
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
		_ = w.conn.Close(context.Background()) // it is given up
		w.conn = nil
	}
}

func (w *writer) createTable(ctx context.Context) error {
	return w.exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id bigint PRIMARY KEY, pieces bigint)")
}

// checkTaken reads all rows on the primary and fails if an acknowledged one is
// missing.
func (w *writer) checkTaken(ctx context.Context) error {
	if err := w.createTable(ctx); err != nil { // connects if need be
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
	held := make(map[int64]bool, len(ids))
	for _, id := range ids {
		held[id] = true
	}
	lost := 0
	for _, id := range w.taken {
		if !held[id] {
			lost++
		}
	}
	fmt.Printf("acknowledged writes: %d, lost: %d\n", len(w.taken), lost)
	if lost > 0 {
		return trace.Errorf("%d acknowledged writes were lost", lost)
	}
	return nil
}
