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

// position is a position in the file; lines and columns count from 1.
type position struct{ line, column int }

// kind says what a node holds.
type kind int

const (
	tableKind kind = iota
	arrayKind
	stringKind
	integerKind
	floatKind
	boolKind
	dateKind
)

// String returns the name that findings use.
func (s kind) String() string {
	return [...]string{"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date"}[s]
}

// node is one value of the file.
type node struct {
	kind     kind
	position position
	// fields of a table, in the order of names.
	fields map[string]*node
	names  []string
	items  []*node
	// scalar is the value's text: unquoted for strings, raw for others.
	scalar string
	// header: an explicit [table] header named this table.
	hasHeader bool
	// closed: an inline table or array, which later lines cannot extend.
	inline bool
}

func newTable(at position) *node {
	return &node{kind: tableKind, position: at, fields: map[string]*node{}}
}

func (n *node) set(name string, value *node) {
	n.fields[name] = value
	n.names = append(n.names, name)
}

// treeBuilder turns go-toml's expressions into nodes.
type treeBuilder struct {
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
		r := &treeBuilder{source: s, root: newTable(position{1, 1})}
		before := len(s.findings)
		err := r.build(data)
		if err == nil {
			return r.root
		}
		s.findings = s.findings[:before]
		at := r.blankSyntaxError(data, err)
		s.addAt(at, "", "syntax error: "+err.Error(), "TOML 1.0")
	}
	return newTable(position{1, 1})
}

func (r *treeBuilder) build(data []byte) error {
	r.parser.Reset(data)
	r.lineStarts = lineStarts(data)
	r.current = r.root
	for r.parser.NextExpression() {
		e := r.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			r.addKeyValue(r.current, r.currentKey, e)
		case unstable.Table:
			r.addTable(e)
		case unstable.ArrayTable:
			r.addArrayTable(e)
		}
	}
	return r.parser.Error()
}

// blankSyntaxError overwrites the line of a syntax error with spaces. A bad header takes
// the keys below it along: they would else count as another table's keys.
func (r *treeBuilder) blankSyntaxError(data []byte, err error) position {
	offset := r.errorOffset(data, err)
	start := bytes.LastIndexByte(data[:offset], '\n') + 1
	at := position{line: bytes.Count(data[:start], []byte("\n")) + 1, column: offset - start + 1}
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

func (r *treeBuilder) errorOffset(data []byte, err error) int {
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

// positionOf looks the line up instead of using the parser's Shape, which counts
// lines from the start of the file for every node.
func (r *treeBuilder) positionOf(raw unstable.Range) position {
	offset := int(raw.Offset)
	line := sort.SearchInts(r.lineStarts, offset+1)
	return position{line: line, column: offset - r.lineStarts[line-1] + 1}
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

// keyPart is one name of a dotted key.
type keyPart struct {
	name     string
	position position
}

func (r *treeBuilder) keyParts(e *unstable.Node) []keyPart {
	var parts []keyPart
	for it := e.Key(); it.Next(); {
		parts = append(parts, keyPart{string(it.Node().Data), r.positionOf(it.Node().Raw)})
	}
	return parts
}

// resolveTable walks to the table that holds the last part, making tables on the
// way. It returns nil after recording a finding when something else is there.
func (r *treeBuilder) resolveTable(n *node, key string, parts []keyPart) (*node, string) {
	for _, p := range parts {
		key = joinKey(key, p.name)
		next := n.fields[p.name]
		if next == nil {
			next = newTable(p.position)
			n.set(p.name, next)
		}
		if next.kind == arrayKind && !next.inline {
			key = itemKey(key, len(next.items)-1)
			next = next.items[len(next.items)-1]
		}
		if next.kind != tableKind || next.inline {
			r.source.addAt(p.position, key, r.alreadyDefined(next), "one definition")
			return nil, key
		}
		n = next
	}
	return n, key
}

func (r *treeBuilder) alreadyDefined(n *node) string {
	return fmt.Sprintf("is already %v on line %d", n.kind, n.position.line)
}

func (r *treeBuilder) addTable(e *unstable.Node) {
	parts := r.keyParts(e)
	last := parts[len(parts)-1]
	r.current, r.currentKey = nil, ""
	parent, key := r.resolveTable(r.root, "", parts[:len(parts)-1])
	if parent == nil {
		return
	}
	if array := parent.fields[last.name]; array != nil && array.kind == arrayKind {
		r.source.addAt(last.position, joinKey(key, last.name), r.alreadyDefined(array), "one definition, or [["+last.name+"]]")
		return
	}
	r.current, r.currentKey = r.resolveTable(parent, key, parts[len(parts)-1:])
	if r.current == nil {
		return
	}
	if r.current.hasHeader {
		r.source.addAt(last.position, r.currentKey, r.alreadyDefined(r.current), "one definition")
	}
	r.current.hasHeader = true
	r.current.position = last.position
}

func (r *treeBuilder) addArrayTable(e *unstable.Node) {
	parts := r.keyParts(e)
	last := parts[len(parts)-1]
	r.current, r.currentKey = nil, ""
	parent, key := r.resolveTable(r.root, "", parts[:len(parts)-1])
	if parent == nil {
		return
	}
	key = joinKey(key, last.name)
	array := parent.fields[last.name]
	if array == nil {
		array = &node{kind: arrayKind, position: last.position}
		parent.set(last.name, array)
	}
	if array.kind != arrayKind || array.inline {
		r.source.addAt(last.position, key, r.alreadyDefined(array), "one definition")
		return
	}
	item := newTable(last.position)
	array.items = append(array.items, item)
	r.current, r.currentKey = item, itemKey(key, len(array.items)-1)
}

func (r *treeBuilder) addKeyValue(table *node, key string, e *unstable.Node) {
	if table == nil {
		return
	}
	parts := r.keyParts(e)
	last := parts[len(parts)-1]
	table, key = r.resolveTable(table, key, parts[:len(parts)-1])
	if table == nil {
		return
	}
	key = joinKey(key, last.name)
	if earlier := table.fields[last.name]; earlier != nil {
		r.source.addAt(last.position, key, r.alreadyDefined(earlier), "one definition")
		return
	}
	table.set(last.name, r.newNode(key, last.position, e.Value()))
}

func (r *treeBuilder) newNode(key string, at position, v *unstable.Node) *node {
	switch v.Kind {
	case unstable.InlineTable:
		n := newTable(at)
		for it := v.Children(); it.Next(); {
			r.addKeyValue(n, key, it.Node())
		}
		n.inline = true
		return n
	case unstable.Array:
		n := &node{kind: arrayKind, position: at, inline: true}
		for it := v.Children(); it.Next(); {
			item := r.newNode(itemKey(key, len(n.items)), r.itemPosition(at, it.Node()), it.Node())
			n.items = append(n.items, item)
		}
		return n
	}
	return &node{kind: scalarKind(v.Kind), position: at, scalar: string(v.Data)}
}

// itemPosition falls back to the array's place: go-toml gives nested arrays none.
func (r *treeBuilder) itemPosition(array position, v *unstable.Node) position {
	if v.Raw.Length == 0 {
		return array
	}
	return r.positionOf(v.Raw)
}

func scalarKind(k unstable.Kind) kind {
	switch k {
	case unstable.String:
		return stringKind
	case unstable.Integer:
		return integerKind
	case unstable.Float:
		return floatKind
	case unstable.Bool:
		return boolKind
	}
	return dateKind
}

func (n *node) integer() (int64, error) {
	return strconv.ParseInt(strings.ReplaceAll(n.scalar, "_", ""), 0, 64)
}

func (n *node) float() (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(n.scalar, "_", ""), 64)
}
