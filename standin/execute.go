package standin

import (
	"fmt"
	"slices"
	"strconv"
)

// result is the result of a statement: rows and a command tag, or an error.
type result struct {
	columns []column // nil for a statement without rows
	rows    [][]value
	tag     string
	err     *sqlError
}

// execute executes a statement on the store within the transaction.
func (t *transaction) execute(st statement, args []value) result {
	var r result
	switch s := st.(type) {
	case createStatement:
		r = t.create(s)
	case insertStatement:
		r = t.insert(s, args)
	case selectStatement:
		r = t.selectRows(s, args)
	case constantStatement:
		r = constants(s, args)
	case sleepStatement:
		r = result{columns: []column{{Name: "pg_sleep"}}, rows: [][]value{{textValue("")}}, tag: "SELECT 1"}
	case updateStatement:
		r = t.update(s, args)
	case deleteStatement:
		r = t.deleteRows(s, args)
	default:
		r.err = errorf(codeNotSupported, "statement %T is not supported", st)
	}
	if r.err != nil {
		return result{err: r.err}
	}
	return r
}

// eval returns the value of an expression in the canonical form of k.
func (e expression) eval(k kind, args []value) (value, *sqlError) {
	if e.parameter == 0 {
		return k.canonicalize(e.value)
	}
	if e.parameter > len(args) {
		return nil, errorf(codeUndefinedColumn, "there is no parameter $%d", e.parameter)
	}
	return k.canonicalize(args[e.parameter-1])
}

func constants(s constantStatement, args []value) result {
	r := result{tag: "SELECT 1", rows: make([][]value, 1)}
	for _, e := range s.values {
		v, err := e.eval(e.kind, args)
		if err != nil {
			return result{err: err}
		}
		r.columns = append(r.columns, column{Name: "?column?", Kind: e.kind})
		r.rows[0] = append(r.rows[0], v)
	}
	return r
}

func (t *transaction) create(s createStatement) result {
	if _, err := t.table(s.table); err == nil {
		if s.ifNotExists {
			return result{tag: "CREATE TABLE"}
		}
		return result{err: errorf(codeDuplicateTable, "relation %q already exists", s.table)}
	}
	tableSchema := &schema{Columns: s.columns, Key: s.key}
	t.created[s.table] = &table{schema: tableSchema, rows: make(map[string][]value)}
	t.changes = append(t.changes, change{Table: s.table, Schema: tableSchema})
	return result{tag: "CREATE TABLE"}
}

func (t *transaction) insert(s insertStatement, args []value) result {
	tab, err := t.table(s.table)
	if err != nil {
		return result{err: err}
	}
	positions, err := insertPositions(s, tab.schema)
	if err != nil {
		return result{err: err}
	}
	for _, expressions := range s.rows {
		row, err := insertRow(expressions, positions, tab.schema, args)
		if err != nil {
			return result{err: err}
		}
		key, err := t.newKey(s.table, tab, row)
		if err != nil {
			return result{err: err}
		}
		t.put(s.table, key, row)
	}
	return result{tag: fmt.Sprintf("INSERT 0 %d", len(s.rows))}
}

// insertPositions returns the column position of each inserted value.
func insertPositions(s insertStatement, tableSchema *schema) ([]int, *sqlError) {
	var positions []int
	if len(s.columns) == 0 {
		for i := range tableSchema.Columns {
			positions = append(positions, i)
		}
		return positions, nil
	}
	for _, name := range s.columns {
		i, err := tableSchema.index(name)
		if err != nil {
			return nil, err
		}
		positions = append(positions, i)
	}
	return positions, nil
}

func insertRow(expressions []expression, positions []int, tableSchema *schema, args []value) ([]value, *sqlError) {
	if len(expressions) > len(positions) {
		return nil, errorf(codeSyntax, "INSERT has more expressions than target columns")
	}
	row := make([]value, len(tableSchema.Columns))
	for i, e := range expressions {
		v, err := e.eval(tableSchema.Columns[positions[i]].Kind, args)
		if err != nil {
			return nil, err
		}
		row[positions[i]] = v
	}
	for i, c := range tableSchema.Columns {
		if c.NotNull && row[i] == nil {
			return nil, errorf(codeNotNullViolation, "null value in column %q", c.Name)
		}
	}
	return row, nil
}

// filter is a condition whose column is resolved and whose operand is evaluated.
type filter struct {
	index    int
	kind     kind
	operator string
	operand  value
}

func (f filter) matches(row []value) bool {
	v := row[f.index]
	if v == nil || f.operand == nil {
		return false
	}
	c := f.kind.compare(*v, *f.operand)
	switch f.operator {
	case "=":
		return c == 0
	case "<":
		return c < 0
	case ">":
		return c > 0
	case "<=":
		return c <= 0
	case ">=":
		return c >= 0
	}
	return c != 0
}

// matchingRows returns a table and the keys of its rows that match all conditions.
func (t *transaction) matchingRows(name string, where []condition, args []value) (*table, []string, *sqlError) {
	tab, err := t.table(name)
	if err != nil {
		return nil, nil, err
	}
	keys, err := t.matchingKeys(name, tab, where, args)
	return tab, keys, err
}

// matchingKeys returns the keys of the rows that match all conditions.
func (t *transaction) matchingKeys(name string, tab *table, where []condition, args []value) ([]string, *sqlError) {
	var filters []filter
	for _, c := range where {
		i, err := tab.schema.index(c.column)
		if err != nil {
			return nil, err
		}
		k := tab.schema.Columns[i].Kind
		operand, err := c.operand.eval(k, args)
		if err != nil {
			return nil, err
		}
		filters = append(filters, filter{index: i, kind: k, operator: c.operator, operand: operand})
	}
	return slices.DeleteFunc(t.candidateKeys(name, tab, filters), func(key string) bool {
		row, ok := t.row(name, tab, key)
		return !ok || slices.ContainsFunc(filters, func(f filter) bool { return !f.matches(row) })
	}), nil
}

// candidateKeys returns the keys of the rows that can match the filters. An
// equality filter on the primary key leaves a single key.
func (t *transaction) candidateKeys(name string, tab *table, filters []filter) []string {
	for _, f := range filters {
		if f.index == tab.schema.Key && f.operator == "=" && f.operand != nil {
			return []string{*f.operand}
		}
	}
	return t.keys(name, tab)
}

func (t *transaction) selectRows(s selectStatement, args []value) result {
	tab, keys, err := t.matchingRows(s.table, s.where, args)
	if err != nil {
		return result{err: err}
	}
	if s.count {
		return result{
			columns: []column{{Name: "count", Kind: kindInt}},
			rows:    [][]value{{intValue(int64(len(keys)))}}, tag: "SELECT 1",
		}
	}
	if err := t.sortKeys(s, tab, keys); err != nil {
		return result{err: err}
	}
	if s.limit >= 0 && s.limit < len(keys) {
		keys = keys[:s.limit]
	}
	return t.project(s, tab, keys)
}

func (t *transaction) sortKeys(s selectStatement, tab *table, keys []string) *sqlError {
	if s.order == "" {
		return nil
	}
	i, err := tab.schema.index(s.order)
	if err != nil {
		return err
	}
	k := tab.schema.Columns[i].Kind
	slices.SortStableFunc(keys, func(a, b string) int {
		rowA, _ := t.row(s.table, tab, a)
		rowB, _ := t.row(s.table, tab, b)
		c := compareNullable(k, rowA[i], rowB[i])
		if s.desc {
			return -c
		}
		return c
	})
	return nil
}

// compareNullable compares two values; NULL sorts last.
func compareNullable(k kind, a, b value) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	}
	return k.compare(*a, *b)
}

// project returns the selected columns of the rows.
func (t *transaction) project(s selectStatement, tab *table, keys []string) result {
	columns, positions, err := selectedColumns(s, tab.schema)
	if err != nil {
		return result{err: err}
	}
	r := result{columns: columns, tag: fmt.Sprintf("SELECT %d", len(keys))}
	for _, key := range keys {
		row, _ := t.row(s.table, tab, key)
		out := make([]value, len(positions))
		for i, position := range positions {
			out[i] = row[position]
		}
		r.rows = append(r.rows, out)
	}
	return r
}

func selectedColumns(s selectStatement, tableSchema *schema) ([]column, []int, *sqlError) {
	names := s.columns
	if len(names) == 0 {
		for _, c := range tableSchema.Columns {
			names = append(names, c.Name)
		}
	}
	var columns []column
	var positions []int
	for _, name := range names {
		i, err := tableSchema.index(name)
		if err != nil {
			return nil, nil, err
		}
		columns = append(columns, tableSchema.Columns[i])
		positions = append(positions, i)
	}
	return columns, positions, nil
}

func (t *transaction) update(s updateStatement, args []value) result {
	tab, keys, err := t.matchingRows(s.table, s.where, args)
	if err != nil {
		return result{err: err}
	}
	for _, key := range keys {
		row, _ := t.row(s.table, tab, key)
		row = slices.Clone(row)
		if err := assign(row, s.set, tab.schema, args); err != nil {
			return result{err: err}
		}
		t.put(s.table, key, row)
	}
	return result{tag: fmt.Sprintf("UPDATE %d", len(keys))}
}

// assign applies the assignments of an UPDATE to a row.
func assign(row []value, set []assignment, tableSchema *schema, args []value) *sqlError {
	for _, a := range set {
		i, err := tableSchema.index(a.column)
		if err != nil {
			return err
		}
		if i == tableSchema.Key {
			return errorf(codeNotSupported, "column %q is the primary key, which cannot be updated", a.column)
		}
		v, err := a.operand.eval(tableSchema.Columns[i].Kind, args)
		if err != nil {
			return err
		}
		if a.add {
			v = addNullable(row[i], v, a.negate)
		}
		row[i] = v
	}
	return nil
}

// addNullable returns the sum or difference of two numbers, or NULL if one of
// them is NULL.
func addNullable(a, b value, negate bool) value {
	if a == nil || b == nil {
		return nil
	}
	x, _ := strconv.ParseInt(*a, 10, 64)
	y, _ := strconv.ParseInt(*b, 10, 64)
	if negate {
		y = -y
	}
	return intValue(x + y)
}

func (t *transaction) deleteRows(s deleteStatement, args []value) result {
	_, keys, err := t.matchingRows(s.table, s.where, args)
	if err != nil {
		return result{err: err}
	}
	for _, key := range keys {
		t.put(s.table, key, nil)
	}
	return result{tag: fmt.Sprintf("DELETE %d", len(keys))}
}
