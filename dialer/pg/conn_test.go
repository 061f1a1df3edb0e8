package pg

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/standin"
)

var testRef = types.TargetRef{Service: "spares", Name: "a"}

func startMember(t testing.TB) *standin.Member {
	t.Helper()
	m, err := standin.Start(standin.Config{})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	return m
}

func dial(t testing.TB, c Config, address string) runtime.TargetConn {
	t.Helper()
	conn, err := NewDialer(c).Dial(t.Context(), testRef, types.Address(address), "")
	assert.NilError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

func query(t testing.TB, sql string) types.Operation {
	t.Helper()
	messages, err := (&pgproto3.Query{String: sql}).Encode(nil)
	assert.NilError(t, err)
	return types.Operation{Kind: types.OpCaller, Payload: &Batch{Messages: messages}}
}

// exchange runs operations and fails the test unless each gets a result.
func exchange(t testing.TB, conn runtime.TargetConn, ops ...types.Operation) []types.Result {
	t.Helper()
	results, _, err := conn.Exchange(t.Context(), ops)
	assert.NilError(t, err)
	assert.Equal(t, len(results), len(ops))
	return results
}

// promote makes the target primary in term 1 and creates the test table.
func promote(t testing.TB, conn runtime.TargetConn) {
	t.Helper()
	r := exchange(t, conn, types.Operation{Kind: types.OpPromote, Term: 1}, query(t, "CREATE TABLE stock (id BIGINT PRIMARY KEY, part TEXT)"))
	assert.Equal(t, r[0].Status, types.TargetStatus{Term: 1, Primary: true})
	assert.Equal(t, r[1].Err, types.TargetErrNone)
}

func TestControlOperations(t *testing.T) {
	leader, follower := startMember(t), startMember(t)
	conn := dial(t, Config{}, leader.Address())
	promote(t, conn)
	r := exchange(t, conn, types.Operation{Kind: types.OpPromote}, types.Operation{Kind: types.OpPosition})
	assert.Equal(t, r[0].Err, types.TargetErrStaleTerm)
	assert.Equal(t, r[1].Status, types.TargetStatus{Term: 1, Primary: true, Pos: types.LogPos{Term: 1, Offset: 2}})

	other := dial(t, Config{}, follower.Address())
	r = exchange(t, other, types.Operation{
		Kind: types.OpFollow, Term: 1, Leader: types.Target{Name: "o'leader", Address: types.Address(leader.Address())},
	}, query(t, "CREATE TABLE t (id BIGINT)"))
	assert.Equal(t, r[0].Status.Term, types.Term(1))
	assert.Assert(t, !r[0].Status.Primary)
	assert.Equal(t, r[1].Err, types.TargetErrReadOnly)
}

// TestRequestIsClaimedOnce runs a request with an id twice: the second claim
// must fail as a duplicate, and a lookup must return the recorded answer.
func TestRequestIsClaimedOnce(t *testing.T) {
	conn := dial(t, Config{}, startMember(t).Address())
	promote(t, conn)
	id := types.RequestID("order '7'")
	begin, commit := types.Operation{Kind: types.OpBegin}, types.Operation{Kind: types.OpCommit}
	claim := types.Operation{Kind: types.OpClaim, RequestID: id}
	lookup := types.Operation{Kind: types.OpLookup, RequestID: id}

	r := exchange(t, conn, lookup)
	assert.Assert(t, !r[0].Found)
	r = exchange(t, conn, begin, claim, query(t, "INSERT INTO stock (id) VALUES (1)"))
	assert.Equal(t, r[2].Tx, types.TxOpen)
	answer := r[2].Payload
	r = exchange(t, conn, types.Operation{Kind: types.OpRecordAnswer, RequestID: id, Payload: answer}, commit)
	assert.Equal(t, r[1].Err, types.TargetErrNone)
	assert.Equal(t, r[1].Tx, types.TxIdle)

	r = exchange(t, conn, begin, claim)
	assert.Equal(t, r[1].Err, types.TargetErrDuplicate)
	assert.Equal(t, r[1].Tx, types.TxFailed)
	r = exchange(t, conn, commit, lookup)
	assert.Equal(t, r[0].Err, types.TargetErrStatement, "the rollback of a failed transaction was reported as a commit")
	assert.Assert(t, r[1].Found)
	assert.DeepEqual(t, r[1].Payload.(*Reply).Messages, answer.(*Reply).Messages)
}

func TestStatementErrorIsAnAnswer(t *testing.T) {
	conn := dial(t, Config{}, startMember(t).Address())
	r := exchange(t, conn, query(t, "SELEC"), types.Operation{Kind: types.OpPosition})
	assert.Equal(t, r[0].Err, types.TargetErrStatement)
	reply := r[0].Payload.(*Reply)
	assert.Assert(t, reply.Failed)
	assert.Assert(t, strings.Contains(string(reply.Messages), "42601"))
	assert.Equal(t, r[1].Err, types.TargetErrNone)
}

// TestDeclaredReadsRunReadOnly guards against a write that runs because it was
// declared a read, and against its rejection being reported as a change of the
// target's role.
func TestDeclaredReadsRunReadOnly(t *testing.T) {
	conn := dial(t, Config{}, startMember(t).Address())
	promote(t, conn)
	write, read := query(t, "INSERT INTO stock (id) VALUES (1)"), query(t, "SELECT id FROM stock")
	for _, op := range []types.Operation{write, read} {
		batch := op.Payload.(*Batch)
		batch.DeclaredRead, batch.ReadOnly = true, true
	}
	position := types.Operation{Kind: types.OpPosition}
	r := exchange(t, conn, write, position, read, position)
	assert.Equal(t, r[0].Err, types.TargetErrStatement, "the error was classified as that of a replica")
	assert.Equal(t, r[0].Tx, types.TxIdle)
	assert.Assert(t, strings.Contains(string(r[0].Payload.(*Reply).Messages), codeReadOnly))
	assert.Equal(t, r[2].Err, types.TargetErrNone)
	assert.Equal(t, r[2].Tx, types.TxIdle)
	assert.Assert(t, strings.Contains(string(r[2].Payload.(*Reply).Messages), "SELECT 0"))
	assert.Equal(t, r[3].Status.Pos, types.LogPos{Term: 1, Offset: 2})
}

// TestLargeBatchDoesNotBlock guards against a deadlock of two blocked writers:
// it sends more than the buffers of both ends hold to a target that does not
// read on until it has written an answer of the same size.
func TestLargeBatchDoesNotBlock(t *testing.T) {
	const size = 32 << 20 // bytes
	answer, err := (&pgproto3.DataRow{Values: [][]byte{make([]byte, size)}}).Encode(nil)
	assert.NilError(t, err)
	answer, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	assert.NilError(t, err)
	conn := dial(t, Config{}, answeringTarget(t, answer))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	results, _, err := conn.Exchange(ctx, []types.Operation{query(t, strings.Repeat("x", size))})
	assert.NilError(t, err)
	assert.Assert(t, len(results[0].Payload.(*Reply).Messages) > size)
}

func TestAnswerIsBounded(t *testing.T) {
	conn := dial(t, Config{MaxReply: 1000}, startMember(t).Address())
	promote(t, conn)
	exchange(t, conn, query(t, "INSERT INTO stock (id, part) VALUES (1, '"+strings.Repeat("x", 2000)+"')"))
	_, sent, err := conn.Exchange(t.Context(), []types.Operation{query(t, "SELECT part FROM stock")})
	assert.ErrorContains(t, err, "larger than 1000 bytes")
	assert.Assert(t, sent)
}

// TestDirtyConnectionIsNotReused changes a setting of the connection, which
// must not apply to the next session: the exchange after the transaction fails.
func TestDirtyConnectionIsNotReused(t *testing.T) {
	conn := dial(t, Config{}, startMember(t).Address())
	r := exchange(t, conn, query(t, "BEGIN"), query(t, "SET x = 1"))
	assert.Equal(t, r[1].Tx, types.TxOpen)
	r = exchange(t, conn, query(t, "COMMIT"))
	assert.Equal(t, r[0].Tx, types.TxIdle)
	_, sent, err := conn.Exchange(t.Context(), []types.Operation{query(t, "SELECT 1")})
	assert.ErrorContains(t, err, "changed the state")
	assert.Assert(t, !sent)
}

func TestCancelClosesTheConnection(t *testing.T) {
	conn := dial(t, Config{}, startMember(t).Address())
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, sent, err := conn.Exchange(ctx, []types.Operation{query(t, "SELECT pg_sleep(60)")})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, sent)
	_, sent, err = conn.Exchange(t.Context(), []types.Operation{query(t, "SELECT 1")})
	assert.Assert(t, err != nil)
	assert.Assert(t, !sent)
}

// answeringTarget accepts one connection and writes the given bytes once it
// receives a statement.
func answeringTarget(t testing.TB, answer []byte) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		backend.Flush()
		conn.Read(make([]byte, 1))
		conn.Write(answer)
		io.Copy(io.Discard, conn)
	}()
	return l.Addr().String()
}

// TestMalformedAnswers checks that bytes that are not a valid answer fail the
// exchange.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range map[string][]byte{
		"length below header": {'C', 0, 0, 0, 3},
		"too large":           {'D', 0x7f, 0xff, 0xff, 0xff},
		"cut off":             {'C', 0, 0, 0, 9, 'a'},
		"no status":           {'Z', 0, 0, 0, 4},
		"unknown status":      {'Z', 0, 0, 0, 5, 'x'},
		"bad error":           {'E', 0, 0, 0, 5, 'M'},
		"copy":                {'G', 0, 0, 0, 7, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, Config{}, answeringTarget(t, answer))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, sent, err := conn.Exchange(ctx, []types.Operation{query(t, "SELECT 1")})
			assert.Assert(t, err != nil)
			assert.Assert(t, sent)
		})
	}
}

// TestTargetIsToldTheOrganisation checks the name of the application in the startup
// message.
func TestTargetIsToldTheOrganisation(t *testing.T) {
	for organisation, want := range map[types.OrganisationName]string{"": applicationName, "mill": "mill"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		dialed := make(chan error, 1)
		go func() {
			conn, err := NewDialer(Config{}).Dial(t.Context(), testRef, types.Address(l.Addr().String()), organisation)
			if err == nil {
				conn.Close()
			}
			dialed <- err
		}()
		conn, err := l.Accept()
		assert.NilError(t, err)
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		msg, err := backend.ReceiveStartupMessage()
		assert.NilError(t, err)
		assert.Equal(t, msg.(*pgproto3.StartupMessage).Parameters["application_name"], want)
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		assert.NilError(t, backend.Flush())
		assert.NilError(t, <-dialed)
	}
}

func TestDialFailures(t *testing.T) {
	m, err := standin.Start(standin.Config{MaxConnections: 1})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	dial(t, Config{}, m.Address())
	_, err = NewDialer(Config{}).Dial(t.Context(), testRef, types.Address(m.Address()), "")
	assert.ErrorContains(t, err, "53300")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	_, err = NewDialer(Config{DialTimeout: 20 * time.Millisecond}).Dial(t.Context(), testRef, types.Address(l.Addr().String()), "")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
