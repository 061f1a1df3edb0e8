package standin

import "time"

// statement is a parsed SQL statement.
type statement interface{ isStatement() }

// expression is a constant or a parameter.
type expression struct {
	value     value
	parameter int // starts at 1; 0 for a constant
	kind      kind
}

// condition compares a column with an expression.
type condition struct {
	column   string
	operator string
	operand  expression
}

// assignment sets a column, or adds to or subtracts from its value.
type assignment struct {
	column  string
	operand expression
	add     bool
	negate  bool // with add: subtract the operand
}

// column is a column of a table.
type column struct {
	Name    string
	Kind    kind
	NotNull bool
}

type (
	emptyStatement  struct{}
	createStatement struct {
		table       string
		ifNotExists bool
		columns     []column
		key         int // index of the primary key; -1 without one
	}
	insertStatement struct {
		table   string
		columns []string // empty for all
		rows    [][]expression
	}
	selectStatement struct {
		table   string
		columns []string // empty for all
		count   bool
		where   []condition
		order   string
		desc    bool
		limit   int // -1 without one
	}
	constantStatement struct{ values []expression }
	sleepStatement    struct{ seconds expression }
	updateStatement   struct {
		table string
		set   []assignment
		where []condition
	}
	deleteStatement struct {
		table string
		where []condition
	}
	beginStatement    struct{ readOnly bool }
	commitStatement   struct{}
	rollbackStatement struct{}
	setStatement      struct{ transactionReadOnly bool }
	showStatement     struct{ name string }
	promoteStatement  struct{ term uint64 }
	followStatement   struct {
		name, address string
		term, start   uint64
	}
	lagStatement    struct{ lag time.Duration }
	streamStatement struct {
		term     uint64
		termEnds []termEnd
	}
)

func (emptyStatement) isStatement()    {}
func (createStatement) isStatement()   {}
func (insertStatement) isStatement()   {}
func (selectStatement) isStatement()   {}
func (constantStatement) isStatement() {}
func (sleepStatement) isStatement()    {}
func (updateStatement) isStatement()   {}
func (deleteStatement) isStatement()   {}
func (beginStatement) isStatement()    {}
func (commitStatement) isStatement()   {}
func (rollbackStatement) isStatement() {}
func (setStatement) isStatement()      {}
func (showStatement) isStatement()     {}
func (promoteStatement) isStatement()  {}
func (followStatement) isStatement()   {}
func (lagStatement) isStatement()      {}
func (streamStatement) isStatement()   {}

// isWrite reports whether a statement changes the store.
func isWrite(st statement) bool {
	switch st.(type) {
	case createStatement, insertStatement, updateStatement, deleteStatement:
		return true
	}
	return false
}

// usesSlot reports whether a statement holds a slot for its simulated execution
// time.
func usesSlot(st statement) bool {
	switch st.(type) {
	case selectStatement, constantStatement, sleepStatement:
		return true
	}
	return isWrite(st)
}

// invalidStatement represents a statement that could not be parsed, described or
// bound. Its execution fails with err.
type invalidStatement struct{ err *sqlError }

func (invalidStatement) isStatement() {}
