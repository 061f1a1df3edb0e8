package standin

import (
	"strings"

	"github.com/camphorpaddle/camphorpaddle/internal/sqltoken"
)

// columnKinds maps the names of column types to kinds.
var columnKinds = map[string]kind{
	"bigint": kindInt, "int": kindInt, "int4": kindInt, "int8": kindInt, "integer": kindInt, "smallint": kindInt,
	"text": kindText, "varchar": kindText, "uuid": kindText, "timestamptz": kindText,
	"bool": kindBool, "boolean": kindBool,
}

func (p *parser) parseCreate() (statement, *sqlError) {
	if !p.acceptWords("table") {
		return nil, p.unexpected()
	}
	st := createStatement{key: -1, ifNotExists: p.acceptWords("if", "not", "exists")}
	var err *sqlError
	if st.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if !p.acceptSymbol("(") {
		return nil, p.unexpected()
	}
	for {
		if err := p.parseCreateItem(&st); err != nil {
			return nil, err
		}
		if p.acceptSymbol(")") {
			return st, nil
		}
		if !p.acceptSymbol(",") {
			return nil, p.unexpected()
		}
	}
}

// parseCreateItem parses a column or the primary key of a table.
func (p *parser) parseCreateItem(st *createStatement) *sqlError {
	if p.acceptWords("primary", "key") {
		return p.parseTableKey(st)
	}
	name, err := p.parseName()
	if err != nil {
		return err
	}
	k, ok := columnKinds[strings.ToLower(p.nextWord())]
	if !ok {
		p.pos--
		return p.unexpected()
	}
	c := column{Name: name, Kind: k}
	for {
		switch {
		case p.acceptWords("primary", "key"):
			st.key = len(st.columns)
		case p.acceptWords("not", "null"):
			c.NotNull = true
		case p.acceptWords("null"):
		default:
			st.columns = append(st.columns, c)
			return nil
		}
	}
}

func (p *parser) parseTableKey(st *createStatement) *sqlError {
	names, err := p.parseNames()
	if err != nil {
		return err
	}
	if len(names) != 1 {
		return errorf(codeNotSupported, "primary key has %d columns, only one is supported", len(names))
	}
	for i, c := range st.columns {
		if c.Name == names[0] {
			st.key = i
			return nil
		}
	}
	return errorf(codeUndefinedColumn, "column %q does not exist", names[0])
}

func (p *parser) parseInsert() (statement, *sqlError) {
	st := insertStatement{}
	if !p.acceptWords("into") {
		return nil, p.unexpected()
	}
	var err *sqlError
	if st.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if p.peek().IsSymbol("(") {
		if st.columns, err = p.parseNames(); err != nil {
			return nil, err
		}
	}
	if !p.acceptWords("values") {
		return nil, p.unexpected()
	}
	for {
		row, err := p.parseRow()
		if err != nil {
			return nil, err
		}
		st.rows = append(st.rows, row)
		if !p.acceptSymbol(",") {
			return st, nil
		}
	}
}

// parseRow parses a list of expressions in parentheses.
func (p *parser) parseRow() ([]expression, *sqlError) {
	if !p.acceptSymbol("(") {
		return nil, p.unexpected()
	}
	var row []expression
	for {
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		row = append(row, e)
		if p.acceptSymbol(")") {
			return row, nil
		}
		if !p.acceptSymbol(",") {
			return nil, p.unexpected()
		}
	}
}

func (p *parser) parseSelect() (statement, *sqlError) {
	if p.acceptWords("pg_sleep") {
		row, err := p.parseRow()
		if err != nil {
			return nil, err
		}
		return sleepStatement{seconds: row[0]}, nil
	}
	if p.startsWithExpression() {
		return p.parseConstants()
	}
	st := selectStatement{limit: -1}
	if err := p.parseSelectList(&st); err != nil {
		return nil, err
	}
	if !p.acceptWords("from") {
		return nil, p.unexpected()
	}
	var err *sqlError
	if st.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if st.where, err = p.parseWhere(); err != nil {
		return nil, err
	}
	return st, p.parseOrderLimit(&st)
}

// startsWithExpression reports whether a constant or a parameter comes next, as
// in a select list of constants.
func (p *parser) startsWithExpression() bool {
	start := p.pos
	defer func() { p.pos = start }()
	_, err := p.parseExpression()
	return err == nil
}

func (p *parser) parseConstants() (statement, *sqlError) {
	st := constantStatement{}
	for {
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		st.values = append(st.values, e)
		if !p.acceptSymbol(",") {
			return st, nil
		}
	}
}

func (p *parser) parseSelectList(st *selectStatement) *sqlError {
	if p.acceptSymbol("*") {
		return nil
	}
	if p.acceptWords("count") {
		st.count = true
		if p.acceptSymbol("(") && p.acceptSymbol("*") && p.acceptSymbol(")") {
			return nil
		}
		return p.unexpected()
	}
	for {
		n, err := p.parseName()
		if err != nil {
			return err
		}
		st.columns = append(st.columns, n)
		if !p.acceptSymbol(",") {
			return nil
		}
	}
}

// parseWhere parses an optional WHERE clause of conditions that are joined by AND.
func (p *parser) parseWhere() ([]condition, *sqlError) {
	if !p.acceptWords("where") {
		return nil, nil
	}
	var conditions []condition
	for {
		c, err := p.parseCondition()
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, c)
		if !p.acceptWords("and") {
			return conditions, nil
		}
	}
}

func (p *parser) parseCondition() (condition, *sqlError) {
	c := condition{}
	var err *sqlError
	if c.column, err = p.parseName(); err != nil {
		return c, err
	}
	t := p.peek()
	switch t.Text {
	case "=", "<", ">", "<=", ">=", "<>", "!=":
	default:
		return c, p.unexpected()
	}
	if t.Kind != sqltoken.Symbol {
		return c, p.unexpected()
	}
	c.operator = t.Text
	p.pos++
	c.operand, err = p.parseExpression()
	return c, err
}

func (p *parser) parseOrderLimit(st *selectStatement) *sqlError {
	var err *sqlError
	if p.acceptWords("order", "by") {
		if st.order, err = p.parseName(); err != nil {
			return err
		}
		st.desc = p.acceptWords("desc")
		if !st.desc {
			p.acceptWords("asc")
		}
	}
	if p.acceptWords("limit") {
		n, err := p.parseNumber()
		st.limit = int(n)
		return err
	}
	return nil
}

func (p *parser) parseUpdate() (statement, *sqlError) {
	st := updateStatement{}
	var err *sqlError
	if st.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if !p.acceptWords("set") {
		return nil, p.unexpected()
	}
	for {
		a, err := p.parseAssignment()
		if err != nil {
			return nil, err
		}
		st.set = append(st.set, a)
		if !p.acceptSymbol(",") {
			break
		}
	}
	st.where, err = p.parseWhere()
	return st, err
}

// parseAssignment parses c = v, c = c + v or c = c - v.
func (p *parser) parseAssignment() (assignment, *sqlError) {
	a := assignment{}
	var err *sqlError
	if a.column, err = p.parseName(); err != nil {
		return a, err
	}
	if !p.acceptSymbol("=") {
		return a, p.unexpected()
	}
	if p.acceptWords(a.column) {
		a.add = true
		a.negate = p.acceptSymbol("-")
		if !a.negate && !p.acceptSymbol("+") {
			return a, p.unexpected()
		}
	}
	a.operand, err = p.parseExpression()
	return a, err
}

func (p *parser) parseDelete() (statement, *sqlError) {
	st := deleteStatement{}
	if !p.acceptWords("from") {
		return nil, p.unexpected()
	}
	var err *sqlError
	if st.table, err = p.parseName(); err != nil {
		return nil, err
	}
	st.where, err = p.parseWhere()
	return st, err
}
