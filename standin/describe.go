package standin

// description is what a statement takes and returns.
type description struct {
	parameters []kind
	columns    []column // nil for a statement without rows
	err        *sqlError
}

// describe returns the parameters and the columns of a statement.
func (t *transaction) describe(st statement) description {
	d := &description{}
	switch s := st.(type) {
	case insertStatement:
		d.insert(t, s)
	case selectStatement:
		d.selectRows(t, s)
	case updateStatement:
		d.update(t, s)
	case deleteStatement:
		if tab := d.table(t, s.table); tab != nil {
			d.conditions(tab.schema, s.where)
		}
	case constantStatement:
		for _, e := range s.values {
			d.parameter(e, kindText)
			d.columns = append(d.columns, column{Name: "?column?", Kind: e.kind})
		}
	case sleepStatement:
		d.parameter(s.seconds, kindFloat)
		d.columns = []column{{Name: "pg_sleep"}}
	case showStatement:
		d.columns = showColumns(s.name)
	}
	return *d
}

// table returns a table, or nil and notes the error.
func (d *description) table(t *transaction, name string) *table {
	tab, err := t.table(name)
	if err != nil {
		d.err = err
		return nil
	}
	return tab
}

// parameter notes the kind of an expression that is a parameter.
func (d *description) parameter(e expression, k kind) {
	if e.parameter == 0 {
		return
	}
	for len(d.parameters) < e.parameter {
		d.parameters = append(d.parameters, kindText)
	}
	d.parameters[e.parameter-1] = k
}

func (d *description) insert(t *transaction, s insertStatement) {
	tab := d.table(t, s.table)
	if tab == nil {
		return
	}
	positions, err := insertPositions(s, tab.schema)
	if err != nil {
		d.err = err
		return
	}
	for _, row := range s.rows {
		for i, e := range row {
			if i < len(positions) {
				d.parameter(e, tab.schema.Columns[positions[i]].Kind)
			}
		}
	}
}

func (d *description) selectRows(t *transaction, s selectStatement) {
	tab := d.table(t, s.table)
	if tab == nil {
		return
	}
	d.conditions(tab.schema, s.where)
	if s.count {
		d.columns = []column{{Name: "count", Kind: kindInt}}
		return
	}
	columns, _, err := selectedColumns(s, tab.schema)
	if err != nil {
		d.err = err
	}
	d.columns = columns
}

func (d *description) update(t *transaction, s updateStatement) {
	tab := d.table(t, s.table)
	if tab == nil {
		return
	}
	for _, a := range s.set {
		i, err := tab.schema.index(a.column)
		if err != nil {
			d.err = err
			return
		}
		d.parameter(a.operand, tab.schema.Columns[i].Kind)
	}
	d.conditions(tab.schema, s.where)
}

func (d *description) conditions(shape *schema, where []condition) {
	for _, c := range where {
		i, err := shape.index(c.column)
		if err != nil {
			d.err = err
			return
		}
		d.parameter(c.operand, shape.Columns[i].Kind)
	}
}
