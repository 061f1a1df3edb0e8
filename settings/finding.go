// Package settings reads the YAML files of the system: the settings of one
// daemon, and the operators' configuration of services and profiles. A file is
// checked whole; everything that is wrong with it is reported together, with
// file, line and column.
package settings

import (
	"fmt"
	"strings"
)

// Finding is one thing that is wrong with a file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"` // keys that lead to the value, joined by dots
	Message string `json:"message"`
}

// String returns file:line:column: path: message.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// InvalidError reports all findings of one file, in the order of the file.
type InvalidError struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
