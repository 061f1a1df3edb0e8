package standin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func startMember(t *testing.T, c Config) *Member {
	t.Helper()
	m, err := Start(c)
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	return m
}

func dial(t *testing.T, m *Member) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), "postgres://u@"+m.Address()+"/ledger?sslmode=disable")
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(t.Context(), sql, args...)
	assert.NilError(t, err, sql)
}

func startPrimary(t *testing.T, c Config) (*Member, *pgx.Conn) {
	t.Helper()
	m := startMember(t, c)
	conn := dial(t, m)
	exec(t, conn, "PADDLE PROMOTE TERM 1")
	exec(t, conn, "CREATE TABLE stock (id BIGINT PRIMARY KEY, part TEXT, left_over BOOL)")
	return m, conn
}

func errorCode(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}

func count(t *testing.T, conn *pgx.Conn) int {
	t.Helper()
	var n int
	assert.NilError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM stock").Scan(&n))
	return n
}

func TestPgxReadsAndWrites(t *testing.T) {
	_, conn := startPrimary(t, Config{})
	exec(t, conn, "INSERT INTO stock (id, part, left_over) VALUES ($1, $2, $3), (2, 'it''s', NULL)", 1, "drop", true)
	exec(t, conn, "UPDATE stock SET part = $1 WHERE id = $2", "prism", 1)
	rows, err := conn.Query(t.Context(), "SELECT id, part, left_over FROM stock WHERE id >= $1 ORDER BY id DESC", 1)
	assert.NilError(t, err)
	type row struct {
		ID       int64
		Part     string
		LeftOver *bool
	}
	got, err := pgx.CollectRows(rows, pgx.RowToStructByPos[row])
	assert.NilError(t, err)
	yes := true
	assert.DeepEqual(t, got, []row{{2, "it's", nil}, {1, "prism", &yes}})
	exec(t, conn, "DELETE FROM stock WHERE id = 2")
	assert.Equal(t, count(t, conn), 1)
}

func TestPqReadsAndWrites(t *testing.T) {
	m, _ := startPrimary(t, Config{})
	db, err := sql.Open("postgres", "postgres://u@"+m.Address()+"/ledger?sslmode=disable")
	assert.NilError(t, err)
	defer db.Close()
	tx, err := db.BeginTx(t.Context(), nil)
	assert.NilError(t, err)
	_, err = tx.Exec("INSERT INTO stock (id, part) VALUES ($1, $2)", 7, "bead")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit())
	var part string
	assert.NilError(t, db.QueryRow("SELECT part FROM stock WHERE id = $1", 7).Scan(&part))
	assert.Equal(t, part, "bead")
}

func TestErrorsCarryTheirCode(t *testing.T) {
	_, conn := startPrimary(t, Config{})
	exec(t, conn, "INSERT INTO stock (id) VALUES (1)")
	for sql, code := range map[string]string{
		"INSERT INTO stock (id) VALUES (1)":     codeUniqueViolation,
		"INSERT INTO stock (id) VALUES (NULL)":  codeNotNullViolation,
		"SELECT id FROM absent":                 codeUndefinedTable,
		"SELECT absent FROM stock":              codeUndefinedColumn,
		"SELEC 1":                               codeSyntax,
		"SELECT id FROM stock WHERE":            codeSyntax,
		"INSERT INTO stock (id) VALUES ('one')": codeInvalidText,
		"PADDLE PROMOTE TERM 0":                 codeStaleTerm,
	} {
		_, err := conn.Exec(t.Context(), sql)
		assert.Equal(t, errorCode(err), code, sql)
	}
	assert.Equal(t, count(t, conn), 1)
}

func TestTransactionsAreIsolated(t *testing.T) {
	m, writer := startPrimary(t, Config{})
	reader := dial(t, m)
	tx, err := writer.Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "INSERT INTO stock (id) VALUES (1)")
	assert.NilError(t, err)
	assert.Equal(t, count(t, reader), 0)
	assert.Equal(t, count(t, writer), 1)
	assert.NilError(t, tx.Rollback(t.Context()))
	assert.Equal(t, count(t, reader), 0)

	tx, err = writer.Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "INSERT INTO stock (id) VALUES (2)")
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "INSERT INTO stock (id) VALUES (2)")
	assert.Equal(t, errorCode(err), codeUniqueViolation)
	_, err = tx.Exec(t.Context(), "SELECT id FROM stock")
	assert.Equal(t, errorCode(err), codeFailedTransaction)
	assert.ErrorIs(t, tx.Commit(t.Context()), pgx.ErrTxCommitRollback)
	assert.Equal(t, count(t, reader), 0)
}

func TestOneTransactionWritesAtATime(t *testing.T) {
	m, first := startPrimary(t, Config{})
	second := dial(t, m)
	exec(t, first, "BEGIN")
	exec(t, first, "INSERT INTO stock (id, part) VALUES (1, 'first')")
	done := make(chan error, 1)
	go func() {
		_, err := second.Exec(context.Background(), "UPDATE stock SET part = 'second' WHERE id = 1")
		done <- err
	}()
	first.Close(t.Context()) // without COMMIT
	assert.NilError(t, <-done)
	assert.Equal(t, count(t, second), 0)
}

func TestConnectionsAreBounded(t *testing.T) {
	m := startMember(t, Config{MaxConnections: 1})
	conn := dial(t, m)
	_, err := pgx.Connect(t.Context(), "postgres://u@"+m.Address()+"/ledger?sslmode=disable")
	assert.Equal(t, errorCode(err), codeTooManyConnections)
	assert.NilError(t, conn.Close(t.Context()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again, err := pgx.Connect(t.Context(), "postgres://u@"+m.Address()+"/ledger?sslmode=disable")
		if err != nil {
			return poll.Continue("%v", err)
		}
		again.Close(t.Context())
		return poll.Success()
	})
}

// startGroup starts n members, of which the first is the primary of the others.
func startGroup(t *testing.T, n int) ([]*Member, []*pgx.Conn) {
	t.Helper()
	first, conn := startPrimary(t, Config{})
	members, conns := []*Member{first}, []*pgx.Conn{conn}
	for range n - 1 {
		m := startMember(t, Config{})
		c := dial(t, m)
		exec(t, c, fmt.Sprintf("PADDLE FOLLOW 'first' '%s' TERM 1 START 0", first.Address()))
		members, conns = append(members, m), append(conns, c)
	}
	return members, conns
}

func waitCount(t *testing.T, conn *pgx.Conn, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var n int
		err := conn.QueryRow(t.Context(), "SELECT count(*) FROM stock").Scan(&n)
		if err == nil && n == want {
			return poll.Success()
		}
		return poll.Continue("%d rows, %v", n, err)
	}, poll.WithDelay(time.Millisecond))
}

func position(t *testing.T, conn *pgx.Conn) string {
	t.Helper()
	var term, logTerm, offset int
	var role string
	row := conn.QueryRow(t.Context(), "SHOW paddle.position")
	assert.NilError(t, row.Scan(&term, &role, &logTerm, &offset))
	return fmt.Sprintf("%d %s %d:%d", term, role, logTerm, offset)
}

func TestReplicaFollowsAndRefusesWrites(t *testing.T) {
	_, conns := startGroup(t, 2)
	for i := range 600 {
		exec(t, conns[0], "INSERT INTO stock (id) VALUES ($1)", i)
	}
	waitCount(t, conns[1], 600)
	assert.Equal(t, position(t, conns[0]), "1 primary 1:602")
	assert.Equal(t, position(t, conns[1]), "1 replica 1:602")
	_, err := conns[1].Exec(t.Context(), "INSERT INTO stock (id) VALUES (-1)")
	assert.Equal(t, errorCode(err), codeReadOnly)
}

// TestReplicaLags compares a replica that lags to one that does not, which shows that
// the write has had time to arrive.
func TestReplicaLags(t *testing.T) {
	_, conns := startGroup(t, 3)
	waitCount(t, conns[1], 0)
	waitCount(t, conns[2], 0)
	exec(t, conns[1], "PADDLE LAG '1h'")
	exec(t, conns[0], "INSERT INTO stock (id) VALUES (1)")
	waitCount(t, conns[2], 1)
	assert.Equal(t, position(t, conns[1]), "1 replica 1:2")
}

// TestReplacedPrimaryDropsUnreplicatedEntries guards against a replaced primary that
// keeps entries that no replica has. A long replication delay keeps them from the
// replicas; then one replica is promoted, and the old primary and the other
// replica follow it.
func TestReplacedPrimaryDropsUnreplicatedEntries(t *testing.T) {
	members, conns := startGroup(t, 3)
	exec(t, conns[0], "INSERT INTO stock (id) VALUES (1)")
	waitCount(t, conns[1], 1)
	waitCount(t, conns[2], 1)
	exec(t, conns[1], "PADDLE LAG '1h'")
	exec(t, conns[2], "PADDLE LAG '1h'")
	exec(t, conns[0], "INSERT INTO stock (id) VALUES (2)")
	exec(t, conns[0], "BEGIN")
	exec(t, conns[0], "INSERT INTO stock (id) VALUES (3)")

	exec(t, conns[1], "PADDLE PROMOTE TERM 2")
	exec(t, conns[1], "PADDLE PROMOTE TERM 2")
	exec(t, conns[1], "INSERT INTO stock (id) VALUES (20)")
	for _, i := range []int{0, 2} {
		control := dial(t, members[i])
		exec(t, control, "PADDLE LAG '0s'")
		command := fmt.Sprintf("PADDLE FOLLOW 'second' '%s' TERM 2 START 3", members[1].Address())
		exec(t, control, command)
		exec(t, control, command)
		_, err := control.Exec(t.Context(), "PADDLE PROMOTE TERM 2")
		assert.Equal(t, errorCode(err), codeStaleTerm)
		waitCount(t, control, 2)
		assert.Equal(t, position(t, control), "2 replica 2:5")
	}
	_, err := conns[0].Exec(t.Context(), "COMMIT")
	assert.Equal(t, errorCode(err), codeReadOnly)
}

// TestLastCommonOffset guards against a wrong common prefix of two logs when
// a member missed a whole term in which some of its entries were replaced.
func TestLastCommonOffset(t *testing.T) {
	a := []termEnd{{1, 100}, {2, 150}, {3, 160}}
	for _, test := range []struct {
		termEnds []termEnd
		want     uint64
	}{
		{nil, 0},
		{[]termEnd{{1, 100}, {2, 150}}, 150},
		{[]termEnd{{1, 90}}, 90},
		{[]termEnd{{1, 120}}, 100},
		{[]termEnd{{1, 100}, {3, 160}}, 100},
		{[]termEnd{{2, 5}}, 0},
	} {
		assert.Equal(t, lastCommonOffset(a, test.termEnds), test.want, "%v", test.termEnds)
	}
}
