package pg

import (
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID is the type of the values that SHOW returns.
const textOID = 25

// localResult is the result of a statement that the front end executes itself.
type localResult struct {
	tag    string
	column string // name of the column of SHOW; empty if there is no row
	value  string
	err    *pgproto3.ErrorResponse
}

// runLocal executes SET, SHOW or RESET of a session setting.
func (c *caller) runLocal(st statement) localResult {
	switch st.verb {
	case verbShow:
		return localResult{tag: "SHOW", column: st.name, value: c.showSetting(st.name)}
	case verbReset:
		return c.setLocal("RESET", st.name, defaultOf(st.name))
	}
	return c.setLocal("SET", st.name, st.value)
}

func (c *caller) showSetting(name string) string {
	if name == settingFloor {
		return formatFloor(c.floor)
	}
	value, _ := c.settings.show(name)
	return value
}

func (c *caller) setLocal(tag, name, value string) localResult {
	if name == settingFloor {
		return localResult{err: newError(codeUndefinedParameter, "not run: %s can't be changed", name)}
	}
	if _, err := c.settings.set(name, value); err != nil {
		return localResult{err: newError(codeInvalidValue, "not run: %v", err)}
	}
	return localResult{tag: tag}
}

// encodeSimple encodes the answer to a Query message.
func (r localResult) encodeSimple() ([]byte, error) {
	var out []byte
	var err error
	if r.err == nil && r.column != "" {
		if out, err = r.rowDescription(0).Encode(out); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return r.appendRows(out)
}

// appendRows appends the rows and CommandComplete, or the error of the
// statement.
func (r localResult) appendRows(out []byte) ([]byte, error) {
	if r.err != nil {
		return r.err.Encode(out)
	}
	if r.column != "" {
		var err error
		if out, err = (&pgproto3.DataRow{Values: [][]byte{[]byte(r.value)}}).Encode(out); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return (&pgproto3.CommandComplete{CommandTag: []byte(r.tag)}).Encode(out)
}

// rowDescription describes the row of SHOW. A text value has the same bytes in
// the text and the binary format.
func (r localResult) rowDescription(format int16) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(r.column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1, Format: format,
	}}}
}

// encodeLocal executes a local batch and encodes its answers. As on a target,
// an error skips the rest of the batch.
func (c *caller) encodeLocal(b *batch) ([]byte, error) {
	var out []byte
	for _, s := range b.steps {
		next, failed, err := c.appendLocal(out, s)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		out = next
		if failed {
			c.batch.revert(b, s.index)
			return out, nil
		}
	}
	return out, nil
}

// appendLocal appends the answer to one message of a local batch and reports
// whether it failed.
func (c *caller) appendLocal(out []byte, s step) ([]byte, bool, error) {
	var answers []pgproto3.BackendMessage
	switch m := s.message.(type) {
	case *pgproto3.Parse:
		answers = append(answers, &pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		answers = append(answers, &pgproto3.BindComplete{})
	case *pgproto3.Close:
		answers = append(answers, &pgproto3.CloseComplete{})
	case *pgproto3.Describe:
		answers = describeLocal(m, s.prepared)
	case *pgproto3.Execute:
		if s.prepared == nil {
			return c.unknownPortal(out, m.Portal)
		}
		result := c.runLocal(s.prepared.statement)
		out, err := result.appendRows(out)
		return out, result.err != nil, trace.Wrap(err)
	}
	var err error
	for _, a := range answers {
		if out, err = a.Encode(out); err != nil {
			return nil, false, trace.Wrap(err)
		}
	}
	return out, false, nil
}

func (c *caller) unknownPortal(out []byte, name string) ([]byte, bool, error) {
	out, err := newError(codeInvalidCursor, "portal %q does not exist", name).Encode(out)
	return out, true, trace.Wrap(err)
}

// describeLocal describes a statement that the front end executes itself.
func describeLocal(m *pgproto3.Describe, p *prepared) []pgproto3.BackendMessage {
	var answers []pgproto3.BackendMessage
	if m.ObjectType == 'S' {
		answers = append(answers, &pgproto3.ParameterDescription{})
	}
	if p == nil || p.statement.verb != verbShow {
		return append(answers, &pgproto3.NoData{})
	}
	return append(answers, localResult{column: p.statement.name}.rowDescription(0))
}
