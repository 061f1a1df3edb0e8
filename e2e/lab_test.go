package e2e

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

// service is the database group of the tests.
const service = "spares-ledger-stock"

// Timing of the tests. The timeouts only end operations that hang.
const (
	testTimeout   = 90 * time.Second
	writeTimeout  = 2 * time.Second
	writeInterval = 10 * time.Millisecond // between two writes
)

// bin is the directory of the built programs.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs and runs the tests, or runs as a relay if relayVariable is
// set.
func run(m *testing.M) int {
	if target := os.Getenv(relayVariable); target != "" {
		fmt.Fprintln(os.Stderr, relay(target))
		return 1
	}
	dir, err := os.MkdirTemp("", "camphorpaddle-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = filepath.Join(dir, "bin")
	if err := lab.Build(context.Background(), bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// start starts control hosts, proxies and a group of three targets.
func start(t *testing.T, controls, proxies int) (context.Context, *lab.Lab) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	config, err := filepath.Abs("../examples/magnolia/config.yaml")
	assert.NilError(t, err)
	l, err := lab.Start(ctx, lab.Config{
		Dir: t.TempDir(), Bin: bin, Controls: controls, Proxies: proxies, ConfigFile: config,
		AvailabilityZones: []string{"gulf-a", "lowcountry-a", "delta-a"},
		Services: []lab.Service{{
			Name: service, Members: 3, Slots: 3, Connections: 20, ConnectCost: 12 * time.Millisecond,
		}},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { stop(l) })
	return ctx, l
}

// stop ends a lab. It kills the targets first, because on SIGTERM a primary waits for
// another member to take over, and all members are being stopped.
func stop(l *lab.Lab) {
	for _, target := range l.Targets {
		_ = target.Kill() // Stop does not report errors either
	}
	l.Stop()
}

// url returns the connection URL of a proxy with additional parameters.
func url(p *lab.Proxy, parameters string) string {
	return "postgres://caller@" + p.CallerAddress + "/" + service + "?sslmode=disable" + parameters
}

// connect opens a session that is closed at the end of the test.
func connect(ctx context.Context, t *testing.T, p *lab.Proxy, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, url(p, parameters))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// execute executes a statement that must succeed.
func execute(ctx context.Context, t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(ctx, sql, args...)
	assert.NilError(t, err, sql)
}

// createTable creates the table that the tests write to.
func createTable(ctx context.Context, t *testing.T, p *lab.Proxy) {
	t.Helper()
	execute(ctx, t, connect(ctx, t, p, ""), "CREATE TABLE orders (id BIGINT PRIMARY KEY, part TEXT)")
}

// insertOnce tries one write in a session of its own.
func insertOnce(ctx context.Context, p *lab.Proxy, id int) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, url(p, ""))
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(ctx, "INSERT INTO orders (id) VALUES ($1)", id)
	return err
}

// insertUntilAcknowledged tries writes with increasing ids until one is acknowledged,
// and returns its id.
func insertUntilAcknowledged(ctx context.Context, t *testing.T, p *lab.Proxy, id int) int {
	t.Helper()
	for ; ; id++ {
		err := insertOnce(ctx, p, id)
		if err == nil {
			return id
		}
		assert.NilError(t, ctx.Err(), "no write was acknowledged: %v", err)
		time.Sleep(writeInterval)
	}
}

// countThroughPq counts the rows with an id, read through lib/pq.
func countThroughPq(ctx context.Context, t *testing.T, p *lab.Proxy, id int) int {
	t.Helper()
	db, err := sql.Open("postgres", url(p, "&paddle.profile=session&paddle.read=on"))
	assert.NilError(t, err)
	defer db.Close()
	var n int
	row := db.QueryRowContext(ctx, "SELECT count(*) FROM orders WHERE id = $1", id)
	assert.NilError(t, row.Scan(&n))
	return n
}

// code returns the SQLSTATE of an error, or its text if it has none.
func code(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}

// term returns the current term of the group.
func term(ctx context.Context, t *testing.T, l *lab.Lab) uint64 {
	t.Helper()
	status, err := l.Status(ctx)
	assert.NilError(t, err)
	for _, s := range status.Services {
		if s.Name == service {
			return s.Term
		}
	}
	t.Fatalf("the status has no service %s", service)
	return 0
}
