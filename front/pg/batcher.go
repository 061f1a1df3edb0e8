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
	types     []uint32 // types of the parameters as the caller gave them
	statement statement
}

// batcher gathers the messages of the extended protocol up to a Sync and
// makes them independent of what the session prepared earlier: on the target
// every statement is the unnamed one, parsed in the batch that uses it.
type batcher struct {
	maxBytes   int
	maxStmts   int
	statements map[string]*prepared
	portals    map[string]*prepared // portals bound in the batch, and in the transaction
	messages   []pgproto3.FrontendMessage
	bytes      int
}

// batch is what came up to a Sync.
type batch struct {
	payload   targetpg.Batch
	statement statement // the statement if there is only one
	local     bool      // all statements are of the front itself
	executes  bool
	undo      []undo // what the batch did to the statements of the session
	steps     []step // the messages of a local batch

	current *prepared // what the unnamed statement on the target is
	parsed  int       // statements that were parsed or bound
	sent    int       // messages that the target gets
}

// undo takes back what a message did to the statements of a session.
type undo struct {
	message  int // its number in the batch, as the target gets it
	name     string
	previous *prepared // nil when there was none
}

// step is one message of a local batch with the statement that it is about.
type step struct {
	number   int // of the message in the batch, as the target gets it
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

// pending reports whether messages wait for a Sync.
func (b *batcher) pending() bool { return len(b.messages) > 0 }

// runs reports whether the messages that wait bind or execute something.
func (b *batcher) runs() bool {
	for _, msg := range b.messages {
		switch msg.(type) {
		case *pgproto3.Bind, *pgproto3.Execute:
			return true
		}
	}
	return false
}

// change sets or, with nil, removes a statement of the session.
func (b *batcher) change(out *batch, name string, p *prepared) {
	out.undo = append(out.undo, undo{message: out.sent, name: name, previous: b.statements[name]})
	b.restore(name, p)
}

func (b *batcher) restore(name string, p *prepared) {
	if p == nil {
		delete(b.statements, name)
		return
	}
	b.statements[name] = p
}

// takeBack undoes what the messages of a batch did that the target did not
// answer; done is how many it answered.
func (b *batcher) takeBack(out *batch, done int) {
	for _, u := range slices.Backward(out.undo) {
		if u.message >= done {
			b.restore(u.name, u.previous)
		}
	}
}

// endTransaction forgets the portals, which end with their transaction.
func (b *batcher) endTransaction() { clear(b.portals) }

// add takes in a message. The message is copied: the decoder uses it again.
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

// copyMessage decodes a message again into memory of its own.
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

// take returns the batch that the messages so far form.
func (b *batcher) take() (*batch, error) {
	messages := b.messages
	b.messages, b.bytes = nil, 0
	out := &batch{}
	for _, msg := range messages {
		if err := b.append(out, msg); err != nil {
			b.takeBack(out, 0)
			return nil, trace.Wrap(err)
		}
	}
	if out.empty() {
		return out, nil
	}
	if err := out.checkLocal(); err != nil {
		b.takeBack(out, 0)
		return nil, trace.Wrap(err)
	}
	var err error
	out.payload.Messages, err = (&pgproto3.Sync{}).Encode(out.payload.Messages)
	return out, trace.Wrap(err)
}

func (b *batch) empty() bool { return len(b.steps) == 0 }

// checkLocal refuses batches that mix statements of the front with others.
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

// append adds one message to the batch, as the target gets it.
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
	b.change(out, m.Name, p)
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
		m.PreparedStatement = out.unknownName(m.PreparedStatement)
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
		m.Name = out.unknownName(m.Name)
	}
	return out.encode(m, p)
}

func (b *batcher) appendClose(out *batch, m *pgproto3.Close) error {
	var p *prepared
	if m.ObjectType == 'S' {
		p = b.statements[m.Name]
		b.change(out, m.Name, nil)
		if m.Name == "" {
			out.current = nil
		}
	}
	return out.encode(m, p)
}

// ensureParsed adds a Parse that the caller does not see unless the unnamed
// statement of the batch is p already.
func (b *batch) ensureParsed(p *prepared) error {
	if b.current == p {
		return nil
	}
	return b.parse(p, true)
}

// noStatement is a name under which the target never has a statement.
const noStatement = "paddle_no_statement"

// unknownName returns the name to send for a statement that the session does
// not have. The target then answers with the error that the caller must see.
func (b *batch) unknownName(name string) string {
	if name == "" {
		return noStatement
	}
	return name
}

// parse adds the Parse of p as the unnamed statement.
func (b *batch) parse(p *prepared, hidden bool) error {
	b.current = p
	b.statement = p.statement
	if b.parsed++; b.parsed > 1 {
		b.statement = statement{}
	}
	b.payload.HiddenParses = append(b.payload.HiddenParses, hidden)
	message := &pgproto3.Parse{Query: p.query, ParameterOIDs: p.types}
	if hidden {
		b.sent++
		var err error
		b.payload.Messages, err = message.Encode(b.payload.Messages)
		return trace.Wrap(err)
	}
	return b.encode(message, p)
}

// encode adds a message that is about p; p is nil when nothing is known of it.
func (b *batch) encode(m pgproto3.FrontendMessage, p *prepared) error {
	b.steps = append(b.steps, step{number: b.sent, message: m, prepared: p})
	b.sent++
	var err error
	b.payload.Messages, err = m.Encode(b.payload.Messages)
	return trace.Wrap(err)
}
