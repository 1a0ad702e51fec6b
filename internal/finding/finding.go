// Package finding collects what is wrong with an input, each with its place,
// so that everything is reported together instead of one fault a run.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// File names the input; empty when it has no file.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 when the place is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Key is the dotted key, for example "accounts[2].share".
	Key string `json:"key,omitempty"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Want says what would be right.
	Want string `json:"want,omitempty"`
}

// String is the form for a terminal: file:line:column: key: problem; want.
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

// List is what was found in one input, in the order of its lines.
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

// Error is a list of findings as an error.
type Error struct{ Findings List }

// Error lists one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
