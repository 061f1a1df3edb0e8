package pg

import (
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// TestNothingRunsBehindFailedBegin guards against statements that are sent behind a BEGIN
// and run, outside of a transaction, although the target failed it.
func TestNothingRunsBehindFailedBegin(t *testing.T) {
	read := query(t, "SELECT id FROM stock")
	var extended []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: "SELECT id FROM stock"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		var err error
		extended, err = m.Encode(extended)
		assert.NilError(t, err)
	}
	for _, tt := range []struct {
		name string
		ops  []types.Operation
	}{
		{"claim", []types.Operation{{Kind: types.OpBegin}, {Kind: types.OpClaim, RequestID: "order 7"}}},
		{"declared read", []types.Operation{{Kind: types.OpCaller, Payload: &Batch{
			Messages: read.Payload.(*Batch).Messages, DeclaredRead: true, ReadOnly: true,
		}}}},
		{"declared read of the extended protocol", []types.Operation{{Kind: types.OpCaller, Payload: &Batch{
			Messages: extended, DeclaredRead: true, ReadOnly: true,
		}}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target := newGreyTarget(t)
			conn := dial(t, Config{}, target.address)
			conn.(*Conn).tableExists = true
			results, sent, err := conn.Exchange(t.Context(), tt.ops)
			assert.Assert(t, sent)
			if err == nil {
				assert.Equal(t, results[0].Err, types.TargetErrStatement)
				assert.Equal(t, results[len(results)-1].Err, types.TargetErrStatement)
			}
			conn.Close()
			assert.DeepEqual(t, <-target.executed, []string(nil))
		})
	}
}

// greyTarget is a target that fails each BEGIN and executes everything else.
type greyTarget struct {
	address  string
	executed chan []string // the statements of the only connection, once it is closed
}

func newGreyTarget(t *testing.T) *greyTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	g := &greyTarget{address: l.Addr().String(), executed: make(chan []string, 1)}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		g.executed <- serveGrey(pgproto3.NewBackend(conn, conn))
	}()
	return g
}

// serveGrey serves one connection and returns the statements that were executed.
func serveGrey(backend *pgproto3.Backend) []string {
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return nil
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	var executed []string
	var parsed string
	skipping := false
	run := func(sql string) bool {
		if strings.HasPrefix(sql, "BEGIN") {
			backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "58000", Message: "failed"})
			return false
		}
		if !slices.Contains([]string{"COMMIT", "SHOW paddle.position"}, sql) {
			executed = append(executed, sql)
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(sql)})
		return true
	}
	for {
		if backend.Flush() != nil {
			return executed
		}
		message, err := backend.Receive()
		if err != nil {
			return executed
		}
		if _, ok := message.(*pgproto3.Sync); ok {
			skipping = false
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
		if skipping {
			continue
		}
		switch m := message.(type) {
		case *pgproto3.Query:
			for sql := range strings.SplitSeq(m.String, "; ") {
				if !run(sql) {
					break
				}
			}
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		case *pgproto3.Parse:
			parsed = m.Query
			backend.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			backend.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			skipping = !run(parsed)
		}
	}
}
