package pg

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
)

// encode returns the encoded messages.
func encode(t testing.TB, messages ...pgproto3.Message) []byte {
	t.Helper()
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		assert.NilError(t, err)
	}
	return out
}

func startupMessage(parameters map[string]string) *pgproto3.StartupMessage {
	return &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
}

// memoryConn is a connection that yields the given bytes and then ends.
type memoryConn struct {
	net.Conn // nil; its methods are not called
	in       *bytes.Reader
	out      bytes.Buffer
}

func (c *memoryConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *memoryConn) Write(p []byte) (int, error)      { return c.out.Write(p) }
func (c *memoryConn) Close() error                     { return nil }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// serveBytes serves a connection that sends data, and returns what was written
// to it.
func serveBytes(s *Server, data []byte) string {
	conn := &memoryConn{in: bytes.NewReader(data)}
	s.serve(context.Background(), conn, 1)
	return conn.out.String()
}

// refusingPart refuses every request.
type refusingPart struct{}

func (refusingPart) Step(in event.Input) []effect.Effect {
	e, ok := in.Event.(event.RequestArrived)
	if !ok {
		return nil
	}
	return []effect.Effect{effect.RefuseCaller{
		Session: e.Session, Seq: e.Request.Seq, Refusal: types.Refusal{Code: types.RefuseNoPrimary, Reason: "no primary"},
	}}
}

// refusingServer returns a front end whose reducer refuses every request.
func refusingServer(t testing.TB) *Server {
	t.Helper()
	proxy := runtime.NewProxy(runtime.ProxyOptions{
		Control: core.New(viewPart{}), Shard: func(int) *core.Reducer { return core.New(refusingPart{}) }, Shards: 1,
		Clock: runtime.NewClock(), Seed: func() uint64 { return 1 }, Recorder: discardRecorder{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go proxy.Run(ctx)
	return New(Config{}, proxy)
}

func FuzzStartup(f *testing.F) {
	f.Add(encode(f, startupMessage(map[string]string{"user": "u", "database": "d", "options": "-c paddle.read=on"})))
	f.Add(encode(f, &pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, startupMessage(map[string]string{"user": "u"})))
	f.Add(encode(f, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: make([]byte, 4)}))
	f.Add(encode(f, startupMessage(map[string]string{"user": "u"}), &pgproto3.Query{String: "SHOW paddle.read"}))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	s := refusingServer(f)
	f.Fuzz(func(t *testing.T, data []byte) { serveBytes(s, data) })
}

// FuzzBatch decodes bytes as messages, builds batches of them, and checks that
// each batch decodes again and has an entry in HiddenParses for each Parse.
func FuzzBatch(f *testing.F) {
	f.Add(encode(f,
		&pgproto3.Parse{Name: "a", Query: "SELECT 1", ParameterOIDs: []uint32{20}}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{{1}}}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(f,
		&pgproto3.Parse{Query: "SET paddle.read = on"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{},
		&pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S'}, &pgproto3.Sync{}))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer far.Close()
		go func() { near.Write(data); near.Close() }()
		backend := pgproto3.NewBackend(far, far)
		backend.SetMaxBodyLen(1 << 20)
		b := newBatcher(Config{}.withDefaults())
		for {
			msg, err := backend.Receive()
			if err != nil {
				return
			}
			if _, ok := msg.(*pgproto3.Sync); !ok {
				if b.add(msg) != nil {
					return
				}
				continue
			}
			if out, err := b.build(); err == nil && !out.empty() {
				checkBatch(t, out)
			}
		}
	})
}

// checkBatch decodes the messages that the target receives for a batch.
func checkBatch(t *testing.T, out *batch) {
	t.Helper()
	near, far := net.Pipe()
	defer far.Close()
	go func() { near.Write(out.payload.Messages); near.Close() }()
	backend := pgproto3.NewBackend(far, far)
	parses := 0
	for {
		msg, err := backend.Receive()
		assert.NilError(t, err)
		switch m := msg.(type) {
		case *pgproto3.Parse:
			parses++
			assert.Equal(t, m.Name, "")
		case *pgproto3.Sync:
			assert.Equal(t, parses, len(out.payload.HiddenParses))
			return
		}
	}
}

// FuzzStatement checks that the matcher accepts any text, and that it never
// treats several statements as one statement on a setting.
func FuzzStatement(f *testing.F) {
	for _, sql := range []string{
		"SET paddle.read = 'on'", "begin isolation level serializable, read only", "/* /* */ */ SHOW paddle.floor;",
		"SET paddle.profile TO \"x\"; DROP TABLE t", "reset all", "copy t from stdin", "--", "'", "\"", "/*",
	} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		st := matchStatement(sql)
		if st.kind == stmtOther || st.kind == stmtRefused {
			return
		}
		for _, token := range tokenize(sql) {
			assert.Assert(t, !token.IsSymbol(";"), "%q was matched as one statement", sql)
		}
	})
}

// TestLimits sends input above each limit, and malformed or unexpected
// messages, and checks the error codes.
func TestLimits(t *testing.T) {
	s := refusingServer(t)
	s.config.MaxMessage, s.config.MaxBatch, s.config.MaxStatements = 1000, 1500, 2
	login := encode(t, startupMessage(map[string]string{"user": "u", "database": "d"}))
	parse := func(name string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: "SELECT 1"} }
	long := &pgproto3.Parse{Query: strings.Repeat("x", 800)}
	for name, test := range map[string]struct {
		sent []byte
		code string
	}{
		"message size":   {append(login[:len(login):len(login)], 'Q', 0, 1, 0, 0), codeLimitExceeded},
		"batch size":     {append(login[:len(login):len(login)], encode(t, long, long)...), codeLimitExceeded},
		"statements":     {append(login[:len(login):len(login)], encode(t, parse("a"), parse("b"), parse("c"), &pgproto3.Sync{})...), codeLimitExceeded},
		"message type":   {append(login[:len(login):len(login)], '!', 0, 0, 0, 4), codeProtocolViolation},
		"message length": {append(login[:len(login):len(login)], 'Q', 0, 0, 0, 1), codeProtocolViolation},
		"startup":        {[]byte{0, 0, 0, 8, 9, 9, 9, 9}, codeProtocolViolation},
		"startup length": {[]byte{0x7f, 0, 0, 0}, codeProtocolViolation},
		"no database":    {encode(t, startupMessage(map[string]string{"application_name": "a"})), codeUnknownService},
		"token":          {encode(t, startupMessage(map[string]string{"database": "d", "paddle.token": "7"})), codeInvalidValue},
		"TLS requests": {encode(t, &pgproto3.SSLRequest{}, &pgproto3.SSLRequest{}, &pgproto3.SSLRequest{}, &pgproto3.SSLRequest{}),
			codeProtocolViolation},
	} {
		t.Run(name, func(t *testing.T) {
			got := serveBytes(s, test.sent)
			assert.Assert(t, len(got) > 0)
			assert.Assert(t, containsCode(got, test.code), "%q", got)
		})
	}
}

// containsCode reports whether answers include an ErrorResponse with the code.
func containsCode(answers, code string) bool { return strings.Contains(answers, "C"+code+"\x00") }

// TestSessionsAreBounded opens one connection more than the limit, and one that
// sends no startup message.
func TestSessionsAreBounded(t *testing.T) {
	p := startHarness(t, Config{MaxSessions: 1, StartupTimeout: 50 * time.Millisecond}, nil)
	silent, err := net.Dial("tcp", p.address)
	assert.NilError(t, err)
	defer silent.Close()
	silent.SetReadDeadline(time.Now().Add(rawTimeout))
	_, err = silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	connectEventually(t, p)
	conn, err := net.Dial("tcp", p.address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write(encode(t, startupMessage(map[string]string{"database": "d"})))
	assert.NilError(t, err)
	conn.SetReadDeadline(time.Now().Add(rawTimeout))
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, containsCode(string(answer), codeTooManyConnections))
}

// connectEventually connects, with retries until a closed connection no longer
// counts against the limit.
func connectEventually(t *testing.T, p *harness) {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", p.address)
		assert.NilError(t, err)
		_, err = conn.Write(encode(t, startupMessage(map[string]string{"database": "d"})))
		assert.NilError(t, err)
		first := make([]byte, 1)
		conn.SetReadDeadline(time.Now().Add(rawTimeout))
		_, err = io.ReadFull(conn, first)
		assert.NilError(t, err)
		if first[0] == 'R' {
			t.Cleanup(func() { conn.Close() })
			return
		}
		conn.Close()
	}
}

func TestTraceparentAndToken(t *testing.T) {
	for _, bad := range []string{"x", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01", "00-0af7651916cd43dd8448eb211c80319z-b7ad6b7169203331-01"} {
		_, err := parseTraceparent(bad)
		assert.Assert(t, err != nil, bad)
	}
	for _, bad := range []string{"7", "a:1", "1:-1", ":"} {
		_, err := parseToken(bad)
		assert.Assert(t, err != nil, bad)
	}
	token, err := parseToken("2:30")
	assert.NilError(t, err)
	assert.Equal(t, *token, types.LogPos{Term: 2, Offset: 30})
}
