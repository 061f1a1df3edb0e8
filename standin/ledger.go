package standin

import (
	"fmt"
	"slices"
	"strconv"
)

// change is one change of a committed transaction, as the log holds it.
type change struct {
	Table  string  `json:"table"`
	Schema *schema `json:"schema,omitempty"` // the table is made
	Key    string  `json:"key,omitempty"`
	Row    []value `json:"row,omitempty"` // nil when the row is gone
}

// schema is the shape of a table.
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

// table holds the committed rows by their key.
type table struct {
	schema *schema
	rows   map[string][]value
	next   uint64 // key of the next row of a table without a primary key
}

// ledger is the committed state.
type ledger struct {
	tables map[string]*table
}

func newLedger() *ledger { return &ledger{tables: make(map[string]*table)} }

// apply takes in the changes of a committed transaction.
func (l *ledger) apply(changes []change) {
	for _, c := range changes {
		if c.Schema != nil {
			l.tables[c.Table] = &table{schema: c.Schema, rows: make(map[string][]value)}
			continue
		}
		t := l.tables[c.Table]
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

// transaction is what one transaction changed on top of the ledger.
type transaction struct {
	ledger  *ledger
	created map[string]*table
	rows    map[string]map[string][]value // by table and key; nil row when gone
	next    map[string]uint64
	changes []change
}

func newTransaction(l *ledger) *transaction {
	return &transaction{
		ledger:  l,
		created: make(map[string]*table),
		rows:    make(map[string]map[string][]value),
		next:    make(map[string]uint64),
	}
}

// table returns a table that the transaction sees.
func (t *transaction) table(name string) (*table, *sqlError) {
	if tab, ok := t.created[name]; ok {
		return tab, nil
	}
	if tab, ok := t.ledger.tables[name]; ok {
		return tab, nil
	}
	return nil, errorf(codeUndefinedTable, "relation %q does not exist", name)
}

// row returns a row that the transaction sees.
func (t *transaction) row(name string, tab *table, key string) ([]value, bool) {
	if row, ok := t.rows[name][key]; ok {
		return row, row != nil
	}
	row, ok := tab.rows[key]
	return row, ok
}

// keys returns the keys of the rows that the transaction sees, in the order of
// the primary key.
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

// put writes a row; a nil row removes it.
func (t *transaction) put(name, key string, row []value) {
	if t.rows[name] == nil {
		t.rows[name] = make(map[string][]value)
	}
	t.rows[name][key] = row
	t.changes = append(t.changes, change{Table: name, Key: key, Row: row})
}

// newKey returns the key of a row that is inserted.
func (t *transaction) newKey(name string, tab *table, row []value) (string, *sqlError) {
	if tab.schema.Key < 0 {
		n := max(t.next[name], tab.next)
		t.next[name] = n + 1
		return fmt.Sprint(n), nil
	}
	v := row[tab.schema.Key]
	if v == nil {
		return "", errorf(codeNotNull, "null value in column %q", tab.schema.Columns[tab.schema.Key].Name)
	}
	if _, ok := t.row(name, tab, *v); ok {
		return "", errorf(codeUnique, "duplicate key value violates unique constraint %q", name+"_pkey")
	}
	return *v, nil
}
