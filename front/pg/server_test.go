package pg

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/lib/pq"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

func connect(t testing.TB, p *harness, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), p.url(parameters))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t testing.TB, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(context.Background(), sql, args...)
	assert.NilError(t, err, sql)
}

// setUpPrimary promotes the target and creates the test table.
func setUpPrimary(t testing.TB, p *harness) *pgx.Conn {
	t.Helper()
	conn := connect(t, p, "")
	exec(t, conn, "PADDLE PROMOTE TERM 1")
	exec(t, conn, "CREATE TABLE stock (id BIGINT PRIMARY KEY, part TEXT)")
	return conn
}

func pgError(t testing.TB, err error) *pgconn.PgError {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	return pgErr
}

// TestPgxRunsUnchanged runs each mode in which pgx sends statements. The fake
// reducer uses another target connection for each request, so the test fails if
// a batch binds a statement that it does not parse itself.
func TestPgxRunsUnchanged(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			p := startHarness(t, Config{}, nil)
			setUpPrimary(t, p)
			config, err := pgx.ParseConfig(p.url(""))
			assert.NilError(t, err)
			config.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(t.Context(), config)
			assert.NilError(t, err)
			defer conn.Close(context.Background())
			assert.NilError(t, conn.Ping(t.Context()))
			for i := range 5 {
				exec(t, conn, "INSERT INTO stock (id, part) VALUES ($1, $2)", i, fmt.Sprint("part ", i))
			}
			for i := range 5 {
				var part string
				row := conn.QueryRow(t.Context(), "SELECT part FROM stock WHERE id = $1", i)
				assert.NilError(t, row.Scan(&part))
				assert.Equal(t, part, fmt.Sprint("part ", i))
			}
		})
	}
}

func TestPgxBatchAndTransaction(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	conn := setUpPrimary(t, p)
	tx, err := conn.Begin(t.Context())
	assert.NilError(t, err)
	batch := &pgx.Batch{}
	for i := range 10 {
		batch.Queue("INSERT INTO stock (id, part) VALUES ($1, $2)", i, "p")
		batch.Queue("SELECT part FROM stock WHERE id = $1", i)
		batch.Queue("UPDATE stock SET part = $1 WHERE id = $2", "q", i)
	}
	assert.NilError(t, tx.SendBatch(t.Context(), batch).Close())
	var n int
	assert.NilError(t, connect(t, p, "").QueryRow(t.Context(), "SELECT count(*) FROM stock").Scan(&n))
	assert.Equal(t, n, 0)
	assert.NilError(t, tx.Commit(t.Context()))
	assert.NilError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM stock WHERE part = 'q'").Scan(&n))
	assert.Equal(t, n, 10)

	_, err = conn.Exec(t.Context(), "INSERT INTO stock (id) VALUES ($1)", 1)
	assert.Equal(t, pgError(t, err).Code, "23505")
	exec(t, conn, "INSERT INTO stock (id) VALUES ($1)", 100)
}

func TestPqRunsUnchanged(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	setUpPrimary(t, p)
	db, err := sql.Open("postgres", p.url(""))
	assert.NilError(t, err)
	defer db.Close()
	db.SetMaxOpenConns(1)
	assert.NilError(t, db.Ping())
	insert, err := db.Prepare("INSERT INTO stock (id, part) VALUES ($1, $2)")
	assert.NilError(t, err)
	tx, err := db.BeginTx(t.Context(), &sql.TxOptions{Isolation: sql.LevelReadCommitted})
	assert.NilError(t, err)
	for i := range 3 {
		_, err = tx.Stmt(insert).Exec(i, "p")
		assert.NilError(t, err)
	}
	assert.NilError(t, tx.Commit())
	_, err = insert.Exec(3, "q")
	assert.NilError(t, err)
	assert.NilError(t, insert.Close())
	var n int
	assert.NilError(t, db.QueryRow("SELECT count(*) FROM stock WHERE id < $1", 10).Scan(&n))
	assert.Equal(t, n, 4)
	tx, err = db.BeginTx(t.Context(), &sql.TxOptions{ReadOnly: true})
	assert.NilError(t, err)
	assert.NilError(t, tx.QueryRow("SELECT count(*) FROM stock").Scan(&n))
	assert.NilError(t, tx.Rollback())
	requests := p.shard.recordedRequests()
	last := requests[len(requests)-1]
	assert.Equal(t, last.Class, types.ClassRead)
}

// TestSettingsReachTheRequest sets the session settings in each supported way
// and checks the attributes of the requests.
func TestSettingsReachTheRequest(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	setUpPrimary(t, p)
	traceparent := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	conn := connect(t, p, "&paddle.profile=catalog&paddle.token=3:14&application_name=desk")
	exec(t, conn, "SET paddle.request_id = 'order-1'")
	exec(t, conn, "set paddle.idempotent to ON;")
	exec(t, conn, "SET paddle.traceparent = '"+traceparent+"'")
	exec(t, conn, "INSERT INTO stock (id) VALUES ($1)", 1)
	exec(t, conn, "SET paddle.read = on")
	exec(t, conn, "SELECT part FROM stock WHERE id = 1")
	exec(t, conn, "BEGIN READ WRITE")
	exec(t, conn, "ROLLBACK")
	exec(t, conn, "RESET paddle.read")
	exec(t, conn, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY")
	exec(t, conn, "SELECT 1")

	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	params := p.shard.params[1]
	assert.Equal(t, params.Service, types.ServiceName("spares"))
	assert.Equal(t, params.Caller, "desk")
	assert.Equal(t, *params.Token, types.LogPos{Term: 3, Offset: 14})
	got := p.shard.requests[2:]
	var ids []types.RequestID
	var classes []types.Class
	for _, r := range got {
		assert.Equal(t, r.Profile, types.ProfileName("catalog"))
		assert.Assert(t, r.Idempotent)
		assert.Equal(t, r.Trace.TraceID[0], byte(0x0a))
		assert.Assert(t, r.Trace.Sampled)
		ids = append(ids, r.ID)
		classes = append(classes, r.Class)
	}
	// pgx prepares the INSERT in a request of its own, which keeps the id.
	assert.DeepEqual(t, ids, []types.RequestID{"", "order-1", "", "", "", ""})
	w, r := types.ClassWrite, types.ClassRead
	assert.DeepEqual(t, classes, []types.Class{w, w, r, w, w, r})
}

// TestDeclaredReadsDoNotWrite declares writes as reads in each supported way. A
// read may be sent again, so it must not write even on the primary.
func TestDeclaredReadsDoNotWrite(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	setUpPrimary(t, p)
	conn := connect(t, p, "&paddle.read=on")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol} {
		_, err := conn.Exec(t.Context(), "INSERT INTO stock (id) VALUES ($1)", mode, 1)
		assert.Equal(t, pgError(t, err).Code, "25006", mode.String())
		assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))
	}
	for _, begin := range []string{"BEGIN; -- plain", "start transaction isolation level serializable", "BEGIN READ ONLY"} {
		exec(t, conn, begin)
		_, err := conn.Exec(t.Context(), "INSERT INTO stock (id) VALUES (1)")
		assert.Equal(t, pgError(t, err).Code, "25006", begin)
		assert.Equal(t, conn.PgConn().TxStatus(), byte('E'))
		exec(t, conn, "ROLLBACK")
	}
	var n int
	assert.NilError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM stock WHERE id < $1", 10).Scan(&n))
	assert.Equal(t, n, 0)
	exec(t, conn, "BEGIN READ WRITE")
	exec(t, conn, "INSERT INTO stock (id) VALUES (1)")
	exec(t, conn, "COMMIT")
}

func TestFloorIsShown(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	conn := connect(t, p, "&options=-c%20paddle.profile%3Dstrict")
	show := func(name string) string {
		var v string
		assert.NilError(t, conn.QueryRow(t.Context(), "SHOW "+name).Scan(&v))
		return v
	}
	assert.Equal(t, show("paddle.floor"), "")
	exec(t, conn, "PADDLE PROMOTE TERM 1")
	exec(t, conn, "CREATE TABLE stock (id BIGINT PRIMARY KEY)")
	assert.Equal(t, show("paddle.floor"), "1:2")
	assert.Equal(t, show("paddle.profile"), "strict")
	_, err := conn.Exec(t.Context(), "SET paddle.floor = '9:9'")
	assert.Equal(t, pgError(t, err).Code, codeUndefinedParameter)
	_, err = conn.Exec(t.Context(), "SET paddle.read = 'perhaps'")
	assert.Equal(t, pgError(t, err).Code, codeInvalidValue)
}

func TestRefusalsCarryTheirOutcome(t *testing.T) {
	const requestsBefore = 2
	p := startHarness(t, Config{}, func(f *fakeShard) {
		f.refuse = map[types.RequestSeq]types.Refusal{
			requestsBefore + 1: {Code: types.RefuseOverloaded, Reason: "the queue is full"},
			requestsBefore + 2: {Code: types.RefuseReplaced, Outcome: types.Unknown, Reason: "the primary was replaced"},
			requestsBefore + 4: {Code: types.RefuseTransactionLost, Reason: "the transaction's target is gone"},
		}
	})
	conn := setUpPrimary(t, p)
	_, err := conn.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, pgError(t, err).Code, codeOverloaded)
	assert.Equal(t, pgError(t, err).Message, "not run: the queue is full")
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, pgError(t, err).Code, codeOutcomeUnknown)
	assert.Assert(t, strings.HasPrefix(pgError(t, err).Message, "outcome unknown: "))
	exec(t, conn, "BEGIN")
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, pgError(t, err).Severity, "FATAL")
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.Assert(t, err != nil, "a statement ran outside its lost transaction")
}

// TestEveryRefusalHasACode checks that each refusal code of the reducer maps to
// an SQLSTATE and a text that begins with the outcome.
func TestEveryRefusalHasACode(t *testing.T) {
	for _, code := range types.RefusalCodes() {
		for _, outcome := range []types.Outcome{types.NotRun, types.Unknown} {
			r := &types.Refusal{Code: code, Outcome: outcome, Reason: "r"}
			assert.Assert(t, refusalCode(r) != codeInternal, "code %d", code)
			assert.Assert(t, strings.HasPrefix(refusalError(r).Message, outcome.String()+": "))
		}
	}
}

// TestConnectionStateStatementsAreRefused guards against statements that change
// the state of a shared connection and would affect other sessions.
func TestConnectionStateStatementsAreRefused(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	conn := setUpPrimary(t, p)
	before := len(p.shard.recordedRequests())
	for _, sql := range []string{
		"COPY stock FROM STDIN", "/* x */ listen a", "PREPARE a AS SELECT 1", "SET search_path = a",
		"RESET ALL", "DISCARD ALL", "-- c\n;LOAD 'x'", "SET paddle.read = on; SELECT 1",
	} {
		_, err := conn.Exec(t.Context(), sql)
		assert.Equal(t, pgError(t, err).Code, codeNotSupported, sql)
		_, err = conn.Exec(t.Context(), sql, pgx.QueryExecModeExec)
		assert.Equal(t, pgError(t, err).Code, codeNotSupported, sql)
	}
	assert.Equal(t, len(p.shard.recordedRequests()), before)
	exec(t, conn, "SET client_encoding = 'UTF8'")
	exec(t, conn, "SET TRANSACTION READ ONLY")
}

// TestDisconnectAbandonsRequest closes the connection while its request waits.
func TestDisconnectAbandonsRequest(t *testing.T) {
	p := startHarness(t, Config{}, func(f *fakeShard) { f.unanswered = 2 })
	conn := connect(t, p, "")
	exec(t, conn, "SELECT 1")
	ctx, cancel := context.WithTimeout(t.Context(), 3*disconnectWatchDelay)
	defer cancel()
	_, err := conn.Exec(ctx, "SELECT 2")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, <-p.shard.closed, types.SessionID(1))
}

// TestSlowRequestsKeepTheirSession guards against a disconnect watch that takes
// bytes of the next request or leaves a read deadline set. It runs requests
// that are slow enough to be watched, one at a time and several sent at once.
func TestSlowRequestsKeepTheirSession(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	conn := connect(t, p, "")
	for range 3 {
		exec(t, conn, "SELECT pg_sleep(0.03)")
	}
	raw := dialRaw(t, p.address)
	for range 3 {
		raw.frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(0.03)"})
	}
	for range 3 {
		answers, err := raw.answers()
		assert.NilError(t, err)
		assert.Equal(t, len(answers), 4)
	}
}

// TestShutdownFinishesOpenTransactions drains while one session is idle and one
// has a transaction open.
func TestShutdownFinishesOpenTransactions(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	idle := setUpPrimary(t, p)
	busy := connect(t, p, "")
	exec(t, busy, "BEGIN")
	exec(t, busy, "INSERT INTO stock (id) VALUES (1)")
	down := make(chan error, 1)
	p.proxy.Drain(0)
	go func() { down <- p.server.Shutdown(context.Background()) }()
	_, err := idle.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, pgError(t, err).Code, codeAdminShutdown)
	exec(t, busy, "INSERT INTO stock (id) VALUES (2)")
	exec(t, busy, "COMMIT")
	_, err = busy.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, pgError(t, err).Code, codeAdminShutdown)
	assert.NilError(t, <-down)
}
