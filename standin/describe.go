package standin

// description holds the parameter types and result columns of a statement.
type description struct {
	parameters []kind
	columns    []column // nil for a statement without rows
	err        *sqlError
}

// describe returns the parameter types and result columns of a statement.
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
		if tab := d.lookupTable(t, s.table); tab != nil {
			d.setConditionKinds(tab.schema, s.where)
		}
	case constantStatement:
		for _, e := range s.values {
			d.setParameterKind(e, kindText)
			d.columns = append(d.columns, column{Name: "?column?", Kind: e.kind})
		}
	case sleepStatement:
		d.setParameterKind(s.seconds, kindFloat)
		d.columns = []column{{Name: "pg_sleep"}}
	case showStatement:
		d.columns = showColumns(s.name)
	}
	return *d
}

// lookupTable returns a table. If it does not exist, it sets err and returns nil.
func (d *description) lookupTable(t *transaction, name string) *table {
	tab, err := t.table(name)
	if err != nil {
		d.err = err
		return nil
	}
	return tab
}

// setParameterKind records k as the kind of e if e is a parameter.
func (d *description) setParameterKind(e expression, k kind) {
	if e.parameter == 0 {
		return
	}
	for len(d.parameters) < e.parameter {
		d.parameters = append(d.parameters, kindText)
	}
	d.parameters[e.parameter-1] = k
}

func (d *description) insert(t *transaction, s insertStatement) {
	tab := d.lookupTable(t, s.table)
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
				d.setParameterKind(e, tab.schema.Columns[positions[i]].Kind)
			}
		}
	}
}

func (d *description) selectRows(t *transaction, s selectStatement) {
	tab := d.lookupTable(t, s.table)
	if tab == nil {
		return
	}
	d.setConditionKinds(tab.schema, s.where)
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
	tab := d.lookupTable(t, s.table)
	if tab == nil {
		return
	}
	for _, a := range s.set {
		i, err := tab.schema.index(a.column)
		if err != nil {
			d.err = err
			return
		}
		d.setParameterKind(a.operand, tab.schema.Columns[i].Kind)
	}
	d.setConditionKinds(tab.schema, s.where)
}

func (d *description) setConditionKinds(tableSchema *schema, where []condition) {
	for _, c := range where {
		i, err := tableSchema.index(c.column)
		if err != nil {
			d.err = err
			return
		}
		d.setParameterKind(c.operand, tableSchema.Columns[i].Kind)
	}
}
