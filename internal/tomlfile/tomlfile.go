// Package tomlfile decodes a TOML file into a struct and collects everything
// that is wrong with it as findings, each with its line, column and key.
//
// The grammar is parsed by go-toml. Its Unmarshal is not used, because it stops
// at the first value of a wrong type: an operator with five faults in a file
// would need five runs to see them all.
package tomlfile

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
)

// Source is a decoded file. Checks of the decoded values add their findings to it by
// key, and it adds their place in the file. It is not safe for concurrent use.
type Source struct {
	file     string
	root     *node
	findings finding.List
}

// Decode decodes data into the struct that target points to; file is the file's
// name in findings. Fields are matched by their `toml` tags. A key without a field
// is a finding, and a field without a key keeps its value. Supported are strings,
// booleans, integers, floats, time.Duration (a string with a unit),
// encoding.TextUnmarshaler, structs and slices of these.
func Decode(file string, data []byte, target any) *Source {
	s := &Source{file: file}
	s.root = s.parse(data)
	s.bindTable(s.root, reflect.ValueOf(target).Elem())
	return s
}

// Findings returns all findings so far, sorted by line.
func (s *Source) Findings() finding.List {
	s.findings.Sort()
	return s.findings
}

// Has reports whether the file sets a key, for example "accounts[1].share".
func (s *Source) Has(key string) bool {
	n := s.root
	for _, part := range splitKey(key) {
		n = n.child(part)
		if n == nil {
			return false
		}
	}
	return true
}

// Add records a finding about a key: its problem, and what is wanted instead. If
// the file does not set the key, the finding is placed at the innermost table around
// it that the file has. A key that already has a finding gets no second one: its
// value was not decoded, so that a check of it means nothing.
func (s *Source) Add(key, problem, want string) {
	for _, f := range s.findings {
		if f.Key == key {
			return
		}
	}
	s.addAt(s.nearestNode(key).position, key, problem, want)
}

// Check records a finding about a key, as Add does, unless ok is true.
func (s *Source) Check(ok bool, key, problem, want string) {
	if !ok {
		s.Add(key, problem, want)
	}
}

func (s *Source) addAt(at position, key, problem, want string) {
	s.findings.Add(finding.Finding{
		File: s.file, Line: at.line, Column: at.column,
		Key: key, Problem: problem, Want: want,
	})
}

// nearestNode returns the node of a key, or of the innermost part of it that exists.
func (s *Source) nearestNode(key string) *node {
	n := s.root
	for _, part := range splitKey(key) {
		next := n.child(part)
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

// splitKey splits "a.b[2].c" into "a", "b", "[2]" and "c".
func splitKey(key string) []string {
	spread := strings.ReplaceAll(key, "[", ".[")
	return strings.FieldsFunc(spread, func(r rune) bool { return r == '.' })
}

// child returns the field with a name, or the item at "[index]", or nil.
func (n *node) child(part string) *node {
	if !strings.HasPrefix(part, "[") {
		return n.fields[part]
	}
	index, err := strconv.Atoi(strings.Trim(part, "[]"))
	if err != nil || index >= len(n.items) {
		return nil
	}
	return n.items[index]
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func itemKey(parent string, index int) string {
	return parent + "[" + strconv.Itoa(index) + "]"
}
