// Package finding holds the faults of an input, each with its place, so that all of
// them are reported together instead of one in each run.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// File is the input's file name; empty if the input is not a file.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 means that the place is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Key is the dotted key, for example "accounts[2].share".
	Key string `json:"key,omitempty"`
	// Problem is what is wrong with it.
	Problem string `json:"problem"`
	// Want is what would be right.
	Want string `json:"want,omitempty"`
}

// String returns the finding as one line: "file:line:column: key: problem; want ...".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Problem)
	if f.Want != "" {
		b.WriteString("; want " + f.Want)
	}
	return b.String()
}

// List holds the findings of one input.
type List []Finding

// Add appends a finding.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Sort orders the findings by file, line, column and key.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool { return less(l[i], l[j]) })
}

func less(a, b Finding) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	if a.Column != b.Column {
		return a.Column < b.Column
	}
	return a.Key < b.Key
}

// Err returns the findings as one error, or nil when there are none.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return &Error{Findings: l}
}

// Error is the error that holds a list of findings.
type Error struct{ Findings List }

// Error returns the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
