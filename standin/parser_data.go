package standin

import (
	"strings"

	"github.com/camphorpaddle/camphorpaddle/internal/sqltoken"
)

// columnKinds are the types of columns.
var columnKinds = map[string]kind{
	"bigint": kindInt, "int": kindInt, "int4": kindInt, "int8": kindInt, "integer": kindInt, "smallint": kindInt,
	"text": kindText, "varchar": kindText, "uuid": kindText, "timestamptz": kindText,
	"bool": kindBool, "boolean": kindBool,
}

func (p *parser) create() (statement, *sqlError) {
	if !p.accept("table") {
		return nil, p.unexpected()
	}
	st := createStatement{key: -1, ifNotExists: p.accept("if", "not", "exists")}
	var err *sqlError
	if st.table, err = p.name(); err != nil {
		return nil, err
	}
	if !p.symbol("(") {
		return nil, p.unexpected()
	}
	for {
		if err := p.createItem(&st); err != nil {
			return nil, err
		}
		if p.symbol(")") {
			return st, nil
		}
		if !p.symbol(",") {
			return nil, p.unexpected()
		}
	}
}

// createItem reads a column or the primary key of a table.
func (p *parser) createItem(st *createStatement) *sqlError {
	if p.accept("primary", "key") {
		return p.tableKey(st)
	}
	name, err := p.name()
	if err != nil {
		return err
	}
	k, ok := columnKinds[strings.ToLower(p.word())]
	if !ok {
		p.pos--
		return p.unexpected()
	}
	c := column{Name: name, Kind: k}
	for {
		switch {
		case p.accept("primary", "key"):
			st.key = len(st.columns)
		case p.accept("not", "null"):
			c.NotNull = true
		case p.accept("null"):
		default:
			st.columns = append(st.columns, c)
			return nil
		}
	}
}

func (p *parser) tableKey(st *createStatement) *sqlError {
	names, err := p.names()
	if err != nil {
		return err
	}
	if len(names) != 1 {
		return errorf(codeNotSupported, "a primary key has one column here")
	}
	for i, c := range st.columns {
		if c.Name == names[0] {
			st.key = i
			return nil
		}
	}
	return errorf(codeUndefinedColumn, "column %q does not exist", names[0])
}

func (p *parser) insert() (statement, *sqlError) {
	st := insertStatement{}
	if !p.accept("into") {
		return nil, p.unexpected()
	}
	var err *sqlError
	if st.table, err = p.name(); err != nil {
		return nil, err
	}
	if p.peek().IsSymbol("(") {
		if st.columns, err = p.names(); err != nil {
			return nil, err
		}
	}
	if !p.accept("values") {
		return nil, p.unexpected()
	}
	for {
		row, err := p.row()
		if err != nil {
			return nil, err
		}
		st.rows = append(st.rows, row)
		if !p.symbol(",") {
			return st, nil
		}
	}
}

// row takes a list of expressions in parentheses.
func (p *parser) row() ([]expression, *sqlError) {
	if !p.symbol("(") {
		return nil, p.unexpected()
	}
	var row []expression
	for {
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		row = append(row, e)
		if p.symbol(")") {
			return row, nil
		}
		if !p.symbol(",") {
			return nil, p.unexpected()
		}
	}
}

func (p *parser) selection() (statement, *sqlError) {
	if p.accept("pg_sleep") {
		row, err := p.row()
		if err != nil {
			return nil, err
		}
		return sleepStatement{seconds: row[0]}, nil
	}
	if p.startsConstant() {
		return p.constants()
	}
	st := selectStatement{limit: -1}
	if err := p.selectList(&st); err != nil {
		return nil, err
	}
	if !p.accept("from") {
		return nil, p.unexpected()
	}
	var err *sqlError
	if st.table, err = p.name(); err != nil {
		return nil, err
	}
	if st.where, err = p.where(); err != nil {
		return nil, err
	}
	return st, p.orderLimit(&st)
}

// startsConstant reports whether the select list holds constants.
func (p *parser) startsConstant() bool {
	at := p.pos
	defer func() { p.pos = at }()
	_, err := p.expression()
	return err == nil
}

func (p *parser) constants() (statement, *sqlError) {
	st := constantStatement{}
	for {
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		st.values = append(st.values, e)
		if !p.symbol(",") {
			return st, nil
		}
	}
}

func (p *parser) selectList(st *selectStatement) *sqlError {
	if p.symbol("*") {
		return nil
	}
	if p.accept("count") {
		st.count = true
		if p.symbol("(") && p.symbol("*") && p.symbol(")") {
			return nil
		}
		return p.unexpected()
	}
	for {
		n, err := p.name()
		if err != nil {
			return err
		}
		st.columns = append(st.columns, n)
		if !p.symbol(",") {
			return nil
		}
	}
}

// where takes conditions that AND joins.
func (p *parser) where() ([]condition, *sqlError) {
	if !p.accept("where") {
		return nil, nil
	}
	var conditions []condition
	for {
		c, err := p.condition()
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, c)
		if !p.accept("and") {
			return conditions, nil
		}
	}
}

func (p *parser) condition() (condition, *sqlError) {
	c := condition{}
	var err *sqlError
	if c.column, err = p.name(); err != nil {
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
	c.operand, err = p.expression()
	return c, err
}

func (p *parser) orderLimit(st *selectStatement) *sqlError {
	var err *sqlError
	if p.accept("order", "by") {
		if st.order, err = p.name(); err != nil {
			return err
		}
		st.desc = p.accept("desc")
		if !st.desc {
			p.accept("asc")
		}
	}
	if p.accept("limit") {
		n, err := p.number()
		st.limit = int(n)
		return err
	}
	return nil
}

func (p *parser) update() (statement, *sqlError) {
	st := updateStatement{}
	var err *sqlError
	if st.table, err = p.name(); err != nil {
		return nil, err
	}
	if !p.accept("set") {
		return nil, p.unexpected()
	}
	for {
		a, err := p.assignment()
		if err != nil {
			return nil, err
		}
		st.set = append(st.set, a)
		if !p.symbol(",") {
			break
		}
	}
	st.where, err = p.where()
	return st, err
}

// assignment takes c = v, c = c + v or c = c - v.
func (p *parser) assignment() (assignment, *sqlError) {
	a := assignment{}
	var err *sqlError
	if a.column, err = p.name(); err != nil {
		return a, err
	}
	if !p.symbol("=") {
		return a, p.unexpected()
	}
	if p.accept(a.column) {
		a.add = true
		a.negate = p.symbol("-")
		if !a.negate && !p.symbol("+") {
			return a, p.unexpected()
		}
	}
	a.operand, err = p.expression()
	return a, err
}

func (p *parser) remove() (statement, *sqlError) {
	st := deleteStatement{}
	if !p.accept("from") {
		return nil, p.unexpected()
	}
	var err *sqlError
	if st.table, err = p.name(); err != nil {
		return nil, err
	}
	st.where, err = p.where()
	return st, err
}
