package standin

import (
	"fmt"
	"slices"
	"strconv"
)

// change is a change of one row, or the creation of a table, as stored in the log.
type change struct {
	Table  string  `json:"table"`
	Schema *schema `json:"schema,omitempty"` // set if the change creates the table
	Key    string  `json:"key,omitempty"`
	Row    []value `json:"row,omitempty"` // nil if the row was deleted
}

// schema holds the columns and the primary key of a table.
type schema struct {
	Columns []column `json:"columns"`
	Key     int      `json:"key"` // index of the primary key; -1 without one
}

// index returns the position of a column.
func (s *schema) index(name string) (int, *sqlError) {
	for i, c := range s.Columns {
		if c.Name == name {
			return i, nil
		}
	}
	return 0, errorf(codeUndefinedColumn, "column %q does not exist", name)
}

// table holds the committed rows of a table by key.
type table struct {
	schema *schema
	rows   map[string][]value
	next   uint64 // key of the next row of a table without a primary key
}

// store holds the committed state of all tables.
type store struct {
	tables map[string]*table
}

func newStore() *store { return &store{tables: make(map[string]*table)} }

// apply applies the changes of a committed transaction.
func (s *store) apply(changes []change) {
	for _, c := range changes {
		if c.Schema != nil {
			s.tables[c.Table] = &table{schema: c.Schema, rows: make(map[string][]value)}
			continue
		}
		t := s.tables[c.Table]
		if c.Row == nil {
			delete(t.rows, c.Key)
			continue
		}
		t.rows[c.Key] = c.Row
		if t.schema.Key < 0 {
			n, _ := strconv.ParseUint(c.Key, 10, 64)
			t.next = max(t.next, n+1)
		}
	}
}

// transaction holds the uncommitted changes of a transaction on top of the store.
type transaction struct {
	store   *store
	created map[string]*table
	rows    map[string]map[string][]value // by table and key; a nil row is deleted
	next    map[string]uint64
	changes []change
}

func newTransaction(s *store) *transaction {
	return &transaction{
		store:   s,
		created: make(map[string]*table),
		rows:    make(map[string]map[string][]value),
		next:    make(map[string]uint64),
	}
}

// table returns a table that is visible to the transaction.
func (t *transaction) table(name string) (*table, *sqlError) {
	if tab, ok := t.created[name]; ok {
		return tab, nil
	}
	if tab, ok := t.store.tables[name]; ok {
		return tab, nil
	}
	return nil, errorf(codeUndefinedTable, "relation %q does not exist", name)
}

// row returns a row that is visible to the transaction.
func (t *transaction) row(name string, tab *table, key string) ([]value, bool) {
	if row, ok := t.rows[name][key]; ok {
		return row, row != nil
	}
	row, ok := tab.rows[key]
	return row, ok
}

// keys returns the keys of the rows that are visible to the transaction, sorted
// by primary key.
func (t *transaction) keys(name string, tab *table) []string {
	keys := make([]string, 0, len(tab.rows))
	for key := range tab.rows {
		if row, ok := t.rows[name][key]; !ok || row != nil {
			keys = append(keys, key)
		}
	}
	for key, row := range t.rows[name] {
		if _, ok := tab.rows[key]; !ok && row != nil {
			keys = append(keys, key)
		}
	}
	k := kindInt
	if tab.schema.Key >= 0 {
		k = tab.schema.Columns[tab.schema.Key].Kind
	}
	slices.SortFunc(keys, k.compare)
	return keys
}

// put writes a row; a nil row deletes it.
func (t *transaction) put(name, key string, row []value) {
	if t.rows[name] == nil {
		t.rows[name] = make(map[string][]value)
	}
	t.rows[name][key] = row
	t.changes = append(t.changes, change{Table: name, Key: key, Row: row})
}

// newKey returns the key of a row to insert. Without a primary key, it generates
// one.
func (t *transaction) newKey(name string, tab *table, row []value) (string, *sqlError) {
	if tab.schema.Key < 0 {
		n := max(t.next[name], tab.next)
		t.next[name] = n + 1
		return fmt.Sprint(n), nil
	}
	v := row[tab.schema.Key]
	if v == nil {
		return "", errorf(codeNotNullViolation, "null value in column %q", tab.schema.Columns[tab.schema.Key].Name)
	}
	if _, ok := t.row(name, tab, *v); ok {
		return "", errorf(codeUniqueViolation, "duplicate key value violates unique constraint %q", name+"_pkey")
	}
	return *v, nil
}
