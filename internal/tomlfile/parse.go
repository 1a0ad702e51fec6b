package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxSyntaxFindings bounds how often parsing resumes after a syntax error.
const maxSyntaxFindings = 20

// place is a position in the file; lines and columns count from 1.
type place struct{ line, column int }

// shape says what a node holds.
type shape int

const (
	tableShape shape = iota
	arrayShape
	stringShape
	integerShape
	floatShape
	boolShape
	dateShape
)

// String returns the name that findings use.
func (s shape) String() string {
	return [...]string{"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date"}[s]
}

// node is one value of the file.
type node struct {
	shape shape
	place place
	// fields of a table, in the order of names.
	fields map[string]*node
	names  []string
	items  []*node
	// scalar is the value's text: unquoted for strings, raw for others.
	scalar string
	// header: an explicit [table] header named this table.
	header bool
	// closed: an inline table or array, which later lines cannot extend.
	closed bool
}

func newTable(at place) *node {
	return &node{shape: tableShape, place: at, fields: map[string]*node{}}
}

func (n *node) set(name string, value *node) {
	n.fields[name] = value
	n.names = append(n.names, name)
}

// reader turns go-toml's expressions into nodes.
type reader struct {
	source *Source
	parser unstable.Parser
	root   *node
	// lineStarts are the offsets of the lines.
	lineStarts []int
	// current is the table that key-value lines belong to, nil after a bad
	// header: its keys are read but belong nowhere.
	current    *node
	currentKey string
}

// parse reads the file. After a syntax error it blanks the line and goes on,
// so that one typing error does not hide the rest.
func (s *Source) parse(data []byte) *node {
	data = bytes.Clone(data)
	for range maxSyntaxFindings {
		r := &reader{source: s, root: newTable(place{1, 1})}
		before := len(s.findings)
		err := r.read(data)
		if err == nil {
			return r.root
		}
		s.findings = s.findings[:before]
		at := r.blank(data, err)
		s.add(at, "", "syntax error: "+err.Error(), "TOML 1.0")
	}
	return newTable(place{1, 1})
}

func (r *reader) read(data []byte) error {
	r.parser.Reset(data)
	r.lineStarts = lineStarts(data)
	r.current = r.root
	for r.parser.NextExpression() {
		e := r.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			r.keyValue(r.current, r.currentKey, e)
		case unstable.Table:
			r.table(e)
		case unstable.ArrayTable:
			r.arrayTable(e)
		}
	}
	return r.parser.Error()
}

// blank overwrites the line of a syntax error with spaces. A bad header takes
// the keys below it along: they would else count as another table's keys.
func (r *reader) blank(data []byte, err error) place {
	offset := r.errorOffset(data, err)
	start := bytes.LastIndexByte(data[:offset], '\n') + 1
	at := place{line: bytes.Count(data[:start], []byte("\n")) + 1, column: offset - start + 1}
	end := lineEnd(data, offset)
	if bytes.HasPrefix(bytes.TrimSpace(data[start:end]), []byte("[")) {
		for end < len(data) && !startsHeader(data[end+1:]) {
			end = lineEnd(data, end+1)
		}
	}
	for i := start; i < end; i++ {
		if data[i] != '\n' {
			data[i] = ' '
		}
	}
	return at
}

func (r *reader) errorOffset(data []byte, err error) int {
	var parserError *unstable.ParserError
	if !errors.As(err, &parserError) || cap(parserError.Highlight) == 0 {
		return max(len(data)-1, 0)
	}
	offset := cap(data) - cap(parserError.Highlight)
	return min(max(offset, 0), max(len(data)-1, 0))
}

func lineEnd(data []byte, from int) int {
	if from >= len(data) {
		return len(data)
	}
	n := bytes.IndexByte(data[from:], '\n')
	if n < 0 {
		return len(data)
	}
	return from + n
}

func startsHeader(rest []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(rest, " \t"), []byte("["))
}

// placeOf looks the line up instead of using the parser's Shape, which counts
// lines from the start of the file for every node.
func (r *reader) placeOf(raw unstable.Range) place {
	offset := int(raw.Offset)
	line := sort.SearchInts(r.lineStarts, offset+1)
	return place{line: line, column: offset - r.lineStarts[line-1] + 1}
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// part is one name of a dotted key.
type part struct {
	name string
	at   place
}

func (r *reader) parts(e *unstable.Node) []part {
	var parts []part
	for it := e.Key(); it.Next(); {
		parts = append(parts, part{string(it.Node().Data), r.placeOf(it.Node().Raw)})
	}
	return parts
}

// descend walks to the table that holds the last part, making tables on the
// way. It returns nil after recording a finding when something else is there.
func (r *reader) descend(n *node, key string, parts []part) (*node, string) {
	for _, p := range parts {
		key = joinKey(key, p.name)
		next := n.fields[p.name]
		if next == nil {
			next = newTable(p.at)
			n.set(p.name, next)
		}
		if next.shape == arrayShape && !next.closed {
			key = itemKey(key, len(next.items)-1)
			next = next.items[len(next.items)-1]
		}
		if next.shape != tableShape || next.closed {
			r.source.add(p.at, key, r.already(next), "one definition")
			return nil, key
		}
		n = next
	}
	return n, key
}

func (r *reader) already(n *node) string {
	return fmt.Sprintf("is already %v on line %d", n.shape, n.place.line)
}

func (r *reader) table(e *unstable.Node) {
	parts := r.parts(e)
	last := parts[len(parts)-1]
	r.current, r.currentKey = nil, ""
	parent, key := r.descend(r.root, "", parts[:len(parts)-1])
	if parent == nil {
		return
	}
	if array := parent.fields[last.name]; array != nil && array.shape == arrayShape {
		r.source.add(last.at, joinKey(key, last.name), r.already(array), "one definition, or [["+last.name+"]]")
		return
	}
	r.current, r.currentKey = r.descend(parent, key, parts[len(parts)-1:])
	if r.current == nil {
		return
	}
	if r.current.header {
		r.source.add(last.at, r.currentKey, r.already(r.current), "one definition")
	}
	r.current.header = true
	r.current.place = last.at
}

func (r *reader) arrayTable(e *unstable.Node) {
	parts := r.parts(e)
	last := parts[len(parts)-1]
	r.current, r.currentKey = nil, ""
	parent, key := r.descend(r.root, "", parts[:len(parts)-1])
	if parent == nil {
		return
	}
	key = joinKey(key, last.name)
	array := parent.fields[last.name]
	if array == nil {
		array = &node{shape: arrayShape, place: last.at}
		parent.set(last.name, array)
	}
	if array.shape != arrayShape || array.closed {
		r.source.add(last.at, key, r.already(array), "one definition")
		return
	}
	item := newTable(last.at)
	array.items = append(array.items, item)
	r.current, r.currentKey = item, itemKey(key, len(array.items)-1)
}

func (r *reader) keyValue(table *node, key string, e *unstable.Node) {
	if table == nil {
		return
	}
	parts := r.parts(e)
	last := parts[len(parts)-1]
	table, key = r.descend(table, key, parts[:len(parts)-1])
	if table == nil {
		return
	}
	key = joinKey(key, last.name)
	if earlier := table.fields[last.name]; earlier != nil {
		r.source.add(last.at, key, r.already(earlier), "one definition")
		return
	}
	table.set(last.name, r.value(key, last.at, e.Value()))
}

func (r *reader) value(key string, at place, v *unstable.Node) *node {
	switch v.Kind {
	case unstable.InlineTable:
		n := newTable(at)
		for it := v.Children(); it.Next(); {
			r.keyValue(n, key, it.Node())
		}
		n.closed = true
		return n
	case unstable.Array:
		n := &node{shape: arrayShape, place: at, closed: true}
		for it := v.Children(); it.Next(); {
			item := r.value(itemKey(key, len(n.items)), r.itemPlace(at, it.Node()), it.Node())
			n.items = append(n.items, item)
		}
		return n
	}
	return &node{shape: scalarShape(v.Kind), place: at, scalar: string(v.Data)}
}

// itemPlace falls back to the array's place: go-toml gives nested arrays none.
func (r *reader) itemPlace(array place, v *unstable.Node) place {
	if v.Raw.Length == 0 {
		return array
	}
	return r.placeOf(v.Raw)
}

func scalarShape(k unstable.Kind) shape {
	switch k {
	case unstable.String:
		return stringShape
	case unstable.Integer:
		return integerShape
	case unstable.Float:
		return floatShape
	case unstable.Bool:
		return boolShape
	}
	return dateShape
}

func (n *node) integer() (int64, error) {
	return strconv.ParseInt(strings.ReplaceAll(n.scalar, "_", ""), 0, 64)
}

func (n *node) float() (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(n.scalar, "_", ""), 64)
}
