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

// maxSyntaxFindings is how many syntax errors are reported before parsing stops.
const maxSyntaxFindings = 20

// position is a place in the file. Lines and columns count from 1.
type position struct{ line, column int }

// kind is the type of a node's value.
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

// String returns the kind's name in findings.
func (k kind) String() string {
	return [...]string{"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date"}[k]
}

// node is one value of the file: a table, an array or a scalar.
type node struct {
	kind     kind
	position position
	// fields are those of a table; names has their names in the order of the file.
	fields map[string]*node
	names  []string
	// items are those of an array.
	items []*node
	// scalar is the text of any other value: unquoted for a string, else as written.
	scalar string
	// hasHeader is set once a [table] header has named this table.
	hasHeader bool
	// inline is set for an inline table or array, which later lines cannot extend.
	inline bool
}

func newTable(at position) *node {
	return &node{kind: tableKind, position: at, fields: map[string]*node{}}
}

func (n *node) set(name string, value *node) {
	n.fields[name] = value
	n.names = append(n.names, name)
}

// treeBuilder builds a tree of nodes from go-toml's expressions.
type treeBuilder struct {
	source *Source
	parser unstable.Parser
	root   *node
	// lineStarts are the byte offsets at which lines begin.
	lineStarts []int
	// current is the table that key-value lines belong to, and currentKey its
	// dotted key. current is nil after an invalid header, so that the keys below
	// it are ignored.
	current    *node
	currentKey string
}

// parse returns the file's root table. After a syntax error it blanks the line and
// parses again, so that one typing error does not hide the other findings.
func (s *Source) parse(data []byte) *node {
	data = bytes.Clone(data)
	for range maxSyntaxFindings {
		b := &treeBuilder{source: s, root: newTable(position{1, 1})}
		before := len(s.findings)
		err := b.build(data)
		if err == nil {
			return b.root
		}
		s.findings = s.findings[:before]
		at := b.blankSyntaxError(data, err)
		s.addAt(at, "", "syntax error: "+err.Error(), "TOML 1.0")
	}
	return newTable(position{1, 1})
}

func (b *treeBuilder) build(data []byte) error {
	b.parser.Reset(data)
	b.lineStarts = lineStarts(data)
	b.current = b.root
	for b.parser.NextExpression() {
		e := b.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			b.addKeyValue(b.current, b.currentKey, e)
		case unstable.Table:
			b.addTable(e)
		case unstable.ArrayTable:
			b.addArrayTable(e)
		}
	}
	return b.parser.Error()
}

// blankSyntaxError overwrites the line of a syntax error with spaces and returns the
// error's position. If the line is a table header, the keys below it are blanked too:
// otherwise they would count as keys of the table before.
func (b *treeBuilder) blankSyntaxError(data []byte, err error) position {
	offset := b.errorOffset(data, err)
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

// errorOffset returns the byte offset of a syntax error in data. go-toml gives the
// error as a slice of data that begins there; without one it is the last byte.
func (b *treeBuilder) errorOffset(data []byte, err error) int {
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

// positionOf returns the position of a range of the file. It looks the line up in
// lineStarts, because the parser's Shape counts lines from the start of the file for
// every node.
func (b *treeBuilder) positionOf(raw unstable.Range) position {
	offset := int(raw.Offset)
	line := sort.SearchInts(b.lineStarts, offset+1)
	return position{line: line, column: offset - b.lineStarts[line-1] + 1}
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

func (b *treeBuilder) keyParts(e *unstable.Node) []keyPart {
	var parts []keyPart
	for it := e.Key(); it.Next(); {
		parts = append(parts, keyPart{string(it.Node().Data), b.positionOf(it.Node().Raw)})
	}
	return parts
}

// resolveTable follows parts from table n, whose dotted key is key, and returns the
// table that the last part names, with its key. It creates missing tables, and follows
// an array of tables to its last entry. If a part names any other value, it records a
// finding and returns nil.
func (b *treeBuilder) resolveTable(n *node, key string, parts []keyPart) (*node, string) {
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
			b.source.addAt(p.position, key, b.alreadyDefined(next), "one definition")
			return nil, key
		}
		n = next
	}
	return n, key
}

// alreadyDefined returns the problem of a finding about a second definition of n.
func (b *treeBuilder) alreadyDefined(n *node) string {
	return fmt.Sprintf("is already %v on line %d", n.kind, n.position.line)
}

func (b *treeBuilder) addTable(e *unstable.Node) {
	parts := b.keyParts(e)
	last := parts[len(parts)-1]
	b.current, b.currentKey = nil, ""
	parent, key := b.resolveTable(b.root, "", parts[:len(parts)-1])
	if parent == nil {
		return
	}
	if array := parent.fields[last.name]; array != nil && array.kind == arrayKind {
		b.source.addAt(last.position, joinKey(key, last.name), b.alreadyDefined(array), "one definition, or [["+last.name+"]]")
		return
	}
	b.current, b.currentKey = b.resolveTable(parent, key, parts[len(parts)-1:])
	if b.current == nil {
		return
	}
	if b.current.hasHeader {
		b.source.addAt(last.position, b.currentKey, b.alreadyDefined(b.current), "one definition")
	}
	b.current.hasHeader = true
	b.current.position = last.position
}

func (b *treeBuilder) addArrayTable(e *unstable.Node) {
	parts := b.keyParts(e)
	last := parts[len(parts)-1]
	b.current, b.currentKey = nil, ""
	parent, key := b.resolveTable(b.root, "", parts[:len(parts)-1])
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
		b.source.addAt(last.position, key, b.alreadyDefined(array), "one definition")
		return
	}
	item := newTable(last.position)
	array.items = append(array.items, item)
	b.current, b.currentKey = item, itemKey(key, len(array.items)-1)
}

func (b *treeBuilder) addKeyValue(table *node, key string, e *unstable.Node) {
	if table == nil {
		return
	}
	parts := b.keyParts(e)
	last := parts[len(parts)-1]
	table, key = b.resolveTable(table, key, parts[:len(parts)-1])
	if table == nil {
		return
	}
	key = joinKey(key, last.name)
	if earlier := table.fields[last.name]; earlier != nil {
		b.source.addAt(last.position, key, b.alreadyDefined(earlier), "one definition")
		return
	}
	table.set(last.name, b.newNode(key, last.position, e.Value()))
}

func (b *treeBuilder) newNode(key string, at position, v *unstable.Node) *node {
	switch v.Kind {
	case unstable.InlineTable:
		n := newTable(at)
		for it := v.Children(); it.Next(); {
			b.addKeyValue(n, key, it.Node())
		}
		n.inline = true
		return n
	case unstable.Array:
		n := &node{kind: arrayKind, position: at, inline: true}
		for it := v.Children(); it.Next(); {
			item := b.newNode(itemKey(key, len(n.items)), b.itemPosition(at, it.Node()), it.Node())
			n.items = append(n.items, item)
		}
		return n
	}
	return &node{kind: scalarKind(v.Kind), position: at, scalar: string(v.Data)}
}

// itemPosition returns the position of an array's item, or that of the array for a
// nested array, for which go-toml gives no position.
func (b *treeBuilder) itemPosition(array position, v *unstable.Node) position {
	if v.Raw.Length == 0 {
		return array
	}
	return b.positionOf(v.Raw)
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
