// Package settings parses the YAML files of the system: the settings of a daemon or
// of the operators' command line, and the operators' configuration of services and
// profiles. All errors in a file are reported together, each with file, line and
// column.
package settings

import (
	"fmt"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"` // keys from the top level to the value, joined by dots
	Message string `json:"message"`
}

// String returns file:line:column: path: message.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// InvalidError holds the findings about one file, ordered by line and column.
type InvalidError struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
