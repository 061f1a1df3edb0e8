package standin

import (
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement that a Parse message created.
type preparedStatement struct {
	st          statement
	description description
	oids        []uint32
}

// portal is a prepared statement with bound parameters.
type portal struct {
	prepared *preparedStatement
	args     []value
	formats  []int16 // of the result columns
}

// handle processes one message after the startup.
func (c *serverConn) handle(msg pgproto3.FrontendMessage) error {
	switch msg.(type) {
	case *pgproto3.Sync:
		failed := c.skipping
		c.skipping = false
		return c.endBatch(failed)
	case *pgproto3.Flush:
		return trace.Wrap(c.backend.Flush())
	}
	if c.skipping {
		return nil
	}
	if m, ok := msg.(*pgproto3.Query); ok {
		return c.query(m.String)
	}
	sqlErr, err := c.extended(msg)
	if err != nil {
		return trace.Wrap(err)
	}
	if sqlErr == nil {
		return nil
	}
	c.skipping = true
	return c.failTransaction(sqlErr)
}

// extended processes a message of the extended query protocol.
func (c *serverConn) extended(msg pgproto3.FrontendMessage) (*sqlError, error) {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m), nil
	case *pgproto3.Describe:
		return c.describe(m), nil
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		c.closeObject(m)
		return nil, nil
	}
	return errorf(codeProtocol, "message %T is not supported", msg), nil
}

func (c *serverConn) parse(m *pgproto3.Parse) (*sqlError, error) {
	statements, sqlErr := parseAll(m.Query)
	if sqlErr != nil {
		return sqlErr, nil
	}
	if len(statements) > 1 {
		return errorf(codeSyntax, "cannot insert multiple commands into a prepared statement"), nil
	}
	p := &preparedStatement{st: emptyStatement{}}
	if len(statements) == 1 {
		p.st = statements[0]
	}
	answer, err := c.call(describeReceived{conn: c.id, st: p.st})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.description = answer.(replyDescription).description
	if p.description.err != nil {
		return p.description.err, nil
	}
	p.oids = parameterOIDs(p.description.parameters, m.ParameterOIDs)
	c.prepared[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil, nil
}

// parameterOIDs returns the types of the parameters. A type that the client
// specified takes precedence.
func parameterOIDs(kinds []kind, specified []uint32) []uint32 {
	oids := make([]uint32, max(len(kinds), len(specified)))
	for i := range oids {
		oids[i] = oidText
		if i < len(kinds) {
			oids[i], _ = kinds[i].oid()
		}
		if i < len(specified) && specified[i] != 0 {
			oids[i] = specified[i]
		}
	}
	return oids
}

func (c *serverConn) bind(m *pgproto3.Bind) *sqlError {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return errorf(codeUnknownStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if err := c.checkFailed(p); err != nil {
		return err
	}
	if len(m.Parameters) != len(p.oids) {
		return errorf(codeProtocol, "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(p.oids))
	}
	args := make([]value, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decodeParameter(p.oids[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		args[i] = v
	}
	c.portals[m.DestinationPortal] = &portal{
		prepared: p, args: args, formats: append([]int16(nil), m.ResultFormatCodes...),
	}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// checkFailed returns an error if the transaction has failed and the statement
// is not allowed in a failed transaction.
func (c *serverConn) checkFailed(p *preparedStatement) *sqlError {
	if c.status == 'E' && !allowedInFailed(p.st) {
		return errTransactionFailed
	}
	return nil
}

func (c *serverConn) describe(m *pgproto3.Describe) *sqlError {
	if m.ObjectType == 'S' {
		p, ok := c.prepared[m.Name]
		if !ok {
			return errorf(codeUnknownStatement, "prepared statement %q does not exist", m.Name)
		}
		if err := c.checkFailed(p); err != nil {
			return err
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		c.sendColumns(p, nil)
		return nil
	}
	p, ok := c.portals[m.Name]
	if !ok {
		return errorf(codeUnknownPortal, "portal %q does not exist", m.Name)
	}
	c.sendColumns(p.prepared, p.formats)
	return nil
}

// sendColumns sends RowDescription, or NoData for a statement without rows.
func (c *serverConn) sendColumns(p *preparedStatement, formats []int16) {
	if p.description.columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(p.description.columns, formats))
}

func (c *serverConn) executePortal(m *pgproto3.Execute) (*sqlError, error) {
	p, ok := c.portals[m.Portal]
	if !ok {
		return errorf(codeUnknownPortal, "portal %q does not exist", m.Portal), nil
	}
	if _, empty := p.prepared.st.(emptyStatement); empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil, nil
	}
	r, err := c.execute(p.prepared.st, p.args)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if r.err != nil {
		return r.err, nil
	}
	c.sendResult(r, p.formats, false)
	return nil, nil
}

func (c *serverConn) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
