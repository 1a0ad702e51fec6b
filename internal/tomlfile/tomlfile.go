// Package tomlfile decodes a TOML file into a struct and gathers everything
// that is wrong with it, each fault with its line, column and key.
//
// go-toml reads the grammar. This package exists beside its Unmarshal because
// that stops at the first value of a wrong type, so that an operator with five
// faults would need five runs to hear of them.
package tomlfile

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
)

// Source is a decoded file. It places findings of checks that follow.
type Source struct {
	file     string
	root     *node
	findings finding.List
}

// Decode reads data into the struct that target points to. Fields are matched
// by their `toml` tags; keys without a field are findings; fields without a key
// keep the value they had. Supported are strings, booleans, integers, floats,
// time.Duration (a string with a unit), encoding.TextUnmarshaler, structs and
// slices of these.
func Decode(file string, data []byte, target any) *Source {
	s := &Source{file: file}
	s.root = s.parse(data)
	s.bindTable(s.root, reflect.ValueOf(target).Elem())
	return s
}

// Findings returns all findings so far in the order of their lines.
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

// Add records a finding about a key. When the file does not set the key, the
// finding is placed at the nearest table around it. A key that has a finding
// already gets no other: its value was not taken, so a check of it says nothing.
func (s *Source) Add(key, problem, want string) {
	for _, f := range s.findings {
		if f.Key == key {
			return
		}
	}
	s.addAt(s.nearestNode(key).position, key, problem, want)
}

// Check records a finding unless ok.
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

// splitKey turns "a.b[2].c" into "a", "b", "[2]", "c".
func splitKey(key string) []string {
	spread := strings.ReplaceAll(key, "[", ".[")
	return strings.FieldsFunc(spread, func(r rune) bool { return r == '.' })
}

// child finds a field by name or an item by "[index]".
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
