package pg

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"github.com/camphorpaddle/camphorpaddle/standin"
)

// rawTimeout limits the wait for the answers to one batch.
const rawTimeout = 5 * time.Second

// rawConn is a client connection on which single protocol messages are sent.
type rawConn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
}

func dialRaw(t testing.TB, address string) *rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	c := &rawConn{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "u", "database": "spares"},
	})
	_, err = c.answers()
	assert.NilError(t, err)
	return c
}

// answers flushes the buffered messages and returns the answers up to
// ReadyForQuery.
func (c *rawConn) answers() ([]string, error) {
	c.conn.SetDeadline(time.Now().Add(rawTimeout))
	if err := c.frontend.Flush(); err != nil {
		return nil, err
	}
	var out []string
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return out, err
		}
		out = append(out, describeAnswer(msg))
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return out, nil
		}
	}
}

// describeAnswer returns the part of an answer that must be the same with and
// without the proxy.
func describeAnswer(msg pgproto3.BackendMessage) string {
	if e, ok := msg.(*pgproto3.ErrorResponse); ok {
		return "error " + e.Code
	}
	encoded, err := msg.Encode(nil)
	return fmt.Sprintf("%q %v", encoded, err)
}

var (
	statementNames = []string{"", "s1", "s2"}
	portalNames    = []string{"", "p1"}
	preparedTexts  = []string{
		"INSERT INTO stock (id, part) VALUES ($1, $2)", "SELECT part FROM stock WHERE id = $1",
		"UPDATE stock SET part = $1 WHERE id = $2", "SELECT count(*) FROM stock", "SELECT id FROM absent",
		"BEGIN", "COMMIT", "ROLLBACK", "SELEC", "",
	}
	queryTexts = []string{
		"BEGIN", "COMMIT", "ROLLBACK", "INSERT INTO stock (id) VALUES (1)", "DELETE FROM stock WHERE id = 1",
		"INSERT INTO stock (id) VALUES (2); INSERT INTO stock (id) VALUES (2)", "SELECT id, part FROM stock", "SELEC", ";",
	}
)

// drawMessage draws a message of the extended protocol.
func drawMessage(t *rapid.T) pgproto3.FrontendMessage {
	name := rapid.SampledFrom(statementNames).Draw(t, "statement")
	portal := rapid.SampledFrom(portalNames).Draw(t, "portal")
	switch rapid.SampledFrom([]string{"parse", "bind", "describe", "describe portal", "execute", "close"}).Draw(t, "message") {
	case "parse":
		return &pgproto3.Parse{Name: name, Query: rapid.SampledFrom(preparedTexts).Draw(t, "text")}
	case "bind":
		parameters := rapid.SampledFrom([][][]byte{nil, {[]byte("1")}, {[]byte("1"), []byte("x")}}).Draw(t, "parameters")
		return &pgproto3.Bind{DestinationPortal: portal, PreparedStatement: name, Parameters: parameters}
	case "describe":
		return &pgproto3.Describe{ObjectType: 'S', Name: name}
	case "describe portal":
		return &pgproto3.Describe{ObjectType: 'P', Name: portal}
	case "execute":
		return &pgproto3.Execute{Portal: portal}
	}
	return &pgproto3.Close{ObjectType: 'S', Name: name}
}

// TestAnswersEqualTargetAnswers sends the same messages directly to a target
// and through the front end, which uses another connection for each batch
// outside transactions, and compares all answers.
func TestAnswersEqualTargetAnswers(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	member, err := standin.Start(standin.Config{MaxConnections: 1000})
	assert.NilError(t, err)
	t.Cleanup(member.Close)
	for _, address := range []string{p.address, member.Address()} {
		setup := dialRaw(t, address)
		setup.frontend.Send(&pgproto3.Query{String: "PADDLE PROMOTE TERM 1; CREATE TABLE stock (id BIGINT PRIMARY KEY, part TEXT)"})
		_, err := setup.answers()
		assert.NilError(t, err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		direct, proxied := dialRaw(t, member.Address()), dialRaw(t, p.address)
		defer direct.conn.Close()
		defer proxied.conn.Close()
		for range rapid.IntRange(1, 12).Draw(rt, "batches") {
			var sent []pgproto3.FrontendMessage
			if rapid.Bool().Draw(rt, "simple") {
				sent = append(sent, &pgproto3.Query{String: rapid.SampledFrom(queryTexts).Draw(rt, "query")})
			} else {
				sent = rapid.SliceOfN(rapid.Custom(drawMessage), 0, 8).Draw(rt, "messages")
				sent = append(sent, &pgproto3.Sync{})
			}
			for _, m := range sent {
				direct.frontend.Send(m)
				proxied.frontend.Send(m)
			}
			want, err := direct.answers()
			assert.NilError(rt, err)
			got, err := proxied.answers()
			assert.NilError(rt, err)
			assert.Equal(rt, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	})
}
