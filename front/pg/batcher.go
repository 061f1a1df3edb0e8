package pg

import (
	"slices"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	targetpg "github.com/camphorpaddle/camphorpaddle/dialer/pg"
)

// prepared is a prepared statement of a session.
type prepared struct {
	query     string
	types     []uint32 // parameter types that the caller specified
	statement statement
}

// batcher collects the messages of the extended protocol up to a Sync and makes
// them independent of statements prepared in earlier batches: on the target
// every statement is the unnamed one and is parsed in the batch that uses it.
type batcher struct {
	maxBytes   int
	maxStmts   int
	statements map[string]*prepared
	portals    map[string]*prepared // portals bound in this batch or the open transaction
	messages   []pgproto3.FrontendMessage
	bytes      int
}

// batch holds the messages up to a Sync.
type batch struct {
	payload   targetpg.Batch
	statement statement // the statement, if the batch has only one
	local     bool      // the front end executes all statements itself
	executes  bool
	undo      []undo // changes to the prepared statements of the session
	steps     []step // the caller's messages as the target receives them

	current        *prepared // the unnamed statement on the target at this point
	parses         int       // number of Parse messages, hidden ones included
	targetMessages int       // number of messages sent to the target
}

// undo holds what is needed to revert the change that one message made to the
// prepared statements of the session.
type undo struct {
	index    int // of the message among those sent to the target
	name     string
	previous *prepared // nil if there was none
}

// step is one message of the caller, and the statement that it refers to.
type step struct {
	index    int // of the message among those sent to the target
	message  pgproto3.FrontendMessage
	prepared *prepared
}

func newBatcher(c Config) *batcher {
	return &batcher{
		maxBytes:   c.MaxBatch,
		maxStmts:   c.MaxStatements,
		statements: make(map[string]*prepared),
		portals:    make(map[string]*prepared),
	}
}

// pending reports whether messages are waiting for a Sync.
func (b *batcher) pending() bool { return len(b.messages) > 0 }

// hasBindOrExecute reports whether a message that is waiting for a Sync binds
// or executes a statement.
func (b *batcher) hasBindOrExecute() bool {
	for _, msg := range b.messages {
		switch msg.(type) {
		case *pgproto3.Bind, *pgproto3.Execute:
			return true
		}
	}
	return false
}

// setStatement sets a prepared statement of the session, or removes it if p is
// nil, and records in out how to revert the change.
func (b *batcher) setStatement(out *batch, name string, p *prepared) {
	out.undo = append(out.undo, undo{index: out.targetMessages, name: name, previous: b.statements[name]})
	b.putStatement(name, p)
}

// putStatement sets a prepared statement of the session, or removes it if p is
// nil.
func (b *batcher) putStatement(name string, p *prepared) {
	if p == nil {
		delete(b.statements, name)
		return
	}
	b.statements[name] = p
}

// revert undoes the changes that a batch made by messages that the target did
// not answer; done is the number of messages that it answered.
func (b *batcher) revert(out *batch, done int) {
	for _, u := range slices.Backward(out.undo) {
		if u.index >= done {
			b.putStatement(u.name, u.previous)
		}
	}
}

// endTransaction removes the portals, which do not outlive their transaction.
func (b *batcher) endTransaction() { clear(b.portals) }

// add adds a message to the current batch. The message is copied because the
// decoder reuses its memory.
func (b *batcher) add(msg pgproto3.FrontendMessage) error {
	encoded, err := msg.Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	b.bytes += len(encoded)
	if b.bytes > b.maxBytes {
		return trace.LimitExceeded("the messages up to one Sync are larger than %d bytes", b.maxBytes)
	}
	copied, err := copyMessage(msg, encoded)
	if err != nil {
		return trace.Wrap(err)
	}
	b.messages = append(b.messages, copied)
	return nil
}

// copyMessage returns a copy of a message that shares no memory with it.
func copyMessage(msg pgproto3.FrontendMessage, encoded []byte) (pgproto3.FrontendMessage, error) {
	var copied pgproto3.FrontendMessage
	switch msg.(type) {
	case *pgproto3.Parse:
		copied = &pgproto3.Parse{}
	case *pgproto3.Bind:
		copied = &pgproto3.Bind{}
	case *pgproto3.Describe:
		copied = &pgproto3.Describe{}
	case *pgproto3.Execute:
		copied = &pgproto3.Execute{}
	case *pgproto3.Close:
		copied = &pgproto3.Close{}
	default:
		return nil, trace.BadParameter("message %T is not of the extended protocol", msg)
	}
	const header = 5 // type and length, in bytes
	return copied, trace.Wrap(copied.Decode(encoded[header:]))
}

// build returns the batch that the messages collected so far form, and starts a
// new one.
func (b *batcher) build() (*batch, error) {
	messages := b.messages
	b.messages, b.bytes = nil, 0
	out := &batch{}
	for _, msg := range messages {
		if err := b.append(out, msg); err != nil {
			b.revert(out, 0)
			return nil, trace.Wrap(err)
		}
	}
	if out.empty() {
		return out, nil
	}
	if err := out.checkLocal(); err != nil {
		b.revert(out, 0)
		return nil, trace.Wrap(err)
	}
	var err error
	out.payload.Messages, err = (&pgproto3.Sync{}).Encode(out.payload.Messages)
	return out, trace.Wrap(err)
}

func (b *batch) empty() bool { return len(b.steps) == 0 }

// checkLocal sets b.local. It rejects batches that contain an unsupported
// statement, or mix statements that the front end executes itself with others.
func (b *batch) checkLocal() error {
	locals, others := 0, 0
	for _, s := range b.steps {
		switch {
		case s.prepared == nil:
		case s.prepared.statement.kind == stmtRefused:
			return trace.BadParameter("%s is not served through the proxy", s.prepared.statement.name)
		case s.prepared.statement.kind == stmtLocal:
			locals++
		default:
			others++
		}
	}
	if locals > 0 && others > 0 {
		return trace.BadParameter("a batch can't mix settings of the session with other statements")
	}
	b.local = locals > 0
	return nil
}

// append adds one message to the batch in the form that the target receives.
func (b *batcher) append(out *batch, msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return b.appendParse(out, m)
	case *pgproto3.Bind:
		return b.appendBind(out, m)
	case *pgproto3.Describe:
		return b.appendDescribe(out, m)
	case *pgproto3.Execute:
		out.executes = true
		return out.encode(m, b.portals[m.Portal])
	case *pgproto3.Close:
		return b.appendClose(out, m)
	}
	return trace.BadParameter("message %T is not of the extended protocol", msg)
}

func (b *batcher) appendParse(out *batch, m *pgproto3.Parse) error {
	p := &prepared{query: m.Query, types: m.ParameterOIDs, statement: matchStatement(m.Query)}
	if _, ok := b.statements[m.Name]; !ok && len(b.statements) >= b.maxStmts {
		return trace.LimitExceeded("the session has %d prepared statements", len(b.statements))
	}
	b.setStatement(out, m.Name, p)
	return out.parse(p, false)
}

func (b *batcher) appendBind(out *batch, m *pgproto3.Bind) error {
	p, ok := b.statements[m.PreparedStatement]
	if ok {
		if err := out.ensureParsed(p); err != nil {
			return trace.Wrap(err)
		}
		m.PreparedStatement = ""
	} else {
		m.PreparedStatement = out.missingStatementName(m.PreparedStatement)
	}
	if len(b.portals) >= b.maxStmts {
		return trace.LimitExceeded("the session has %d open portals", len(b.portals))
	}
	b.portals[m.DestinationPortal] = p
	return out.encode(m, p)
}

func (b *batcher) appendDescribe(out *batch, m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return out.encode(m, b.portals[m.Name])
	}
	p, ok := b.statements[m.Name]
	if ok {
		if err := out.ensureParsed(p); err != nil {
			return trace.Wrap(err)
		}
		m.Name = ""
	} else {
		m.Name = out.missingStatementName(m.Name)
	}
	return out.encode(m, p)
}

func (b *batcher) appendClose(out *batch, m *pgproto3.Close) error {
	var p *prepared
	if m.ObjectType == 'S' {
		p = b.statements[m.Name]
		b.setStatement(out, m.Name, nil)
		if m.Name == "" {
			out.current = nil
		}
	}
	return out.encode(m, p)
}

// ensureParsed adds a hidden Parse of p, whose answer the caller does not
// receive, unless p is already the unnamed statement on the target.
func (b *batch) ensureParsed(p *prepared) error {
	if b.current == p {
		return nil
	}
	return b.parse(p, true)
}

// missingStatement is a name under which the target never has a statement.
const missingStatement = "paddle_no_statement"

// missingStatementName returns the name to send for a statement that the
// session does not have, so that the target answers with the error that the
// caller expects.
func (b *batch) missingStatementName(name string) string {
	if name == "" {
		return missingStatement
	}
	return name
}

// parse adds a Parse of p as the unnamed statement.
func (b *batch) parse(p *prepared, hidden bool) error {
	b.current = p
	b.statement = p.statement
	if b.parses++; b.parses > 1 {
		b.statement = statement{}
	}
	b.payload.HiddenParses = append(b.payload.HiddenParses, hidden)
	message := &pgproto3.Parse{Query: p.query, ParameterOIDs: p.types}
	if hidden {
		b.targetMessages++
		var err error
		b.payload.Messages, err = message.Encode(b.payload.Messages)
		return trace.Wrap(err)
	}
	return b.encode(message, p)
}

// encode adds a message that refers to p; p is nil if the statement is not
// known.
func (b *batch) encode(m pgproto3.FrontendMessage, p *prepared) error {
	b.steps = append(b.steps, step{index: b.targetMessages, message: m, prepared: p})
	b.targetMessages++
	var err error
	b.payload.Messages, err = m.Encode(b.payload.Messages)
	return trace.Wrap(err)
}
