package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/urfave/cli/v3"
)

// printer writes the result of a command as a table or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

func newPrinter(cmd *cli.Command) (printer, error) {
	format := cmd.String("output")
	if format != "table" && format != "json" {
		return printer{}, cmdline.UsageErrorf("output format %q must be table or json", format)
	}
	return printer{w: cmd.Root().Writer, json: format == "json"}, nil
}

// table is the human-readable form of a result.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row with the default format of each value.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// print writes value as JSON, or the tables separated by empty lines.
func (p printer) print(value any, tables ...*table) error {
	if p.json {
		enc := json.NewEncoder(p.w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(p.w)
		}
		if err := p.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (p printer) printTable(t *table) error {
	const minWidth, tabWidth, padding = 0, 8, 2
	w := tabwriter.NewWriter(p.w, minWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// line writes value as JSON, or one line of text.
func (p printer) line(value any, format string, args ...any) error {
	if p.json {
		return p.print(value)
	}
	_, err := fmt.Fprintf(p.w, format+"\n", args...)
	return err
}

// yesNo formats a boolean for a table.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
