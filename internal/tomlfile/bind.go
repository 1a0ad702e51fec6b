package tomlfile

import (
	"encoding"
	"math"
	"reflect"
	"sort"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// wantDuration describes a duration in findings.
const wantDuration = `a duration with a unit, such as "250ms" or "30s"`

// bindTable sets the fields of a struct from the root table.
func (s *Source) bindTable(n *node, target reflect.Value) { s.bindTableAt(n, "", target) }

// bindTableAt sets the fields of a struct from the table whose dotted key is key.
func (s *Source) bindTableAt(n *node, key string, target reflect.Value) {
	fields := fieldsByTag(target)
	for _, name := range n.names {
		at := joinKey(key, name)
		field, known := fields[name]
		if !known {
			s.addAt(n.fields[name].position, at, "is not a known key", "one of "+sortedNames(fields))
			continue
		}
		s.bind(n.fields[name], at, field)
	}
}

// fieldsByTag returns the fields of a struct, those of embedded structs included, by
// their toml tags.
func fieldsByTag(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for _, f := range reflect.VisibleFields(target.Type()) {
		if tag := f.Tag.Get("toml"); tag != "" {
			fields[tag] = target.FieldByIndex(f.Index)
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Value) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// bind sets target from a node, or records a finding.
func (s *Source) bind(n *node, key string, target reflect.Value) {
	if target.Type() == durationType {
		s.bindDuration(n, key, target)
		return
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.bindText(n, key, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if s.expectKind(n, key, tableKind) {
			s.bindTableAt(n, key, target)
		}
	case reflect.Slice:
		s.bindSlice(n, key, target)
	case reflect.String:
		if s.expectKind(n, key, stringKind) {
			target.SetString(n.scalar)
		}
	case reflect.Bool:
		if s.expectKind(n, key, boolKind) {
			target.SetBool(n.scalar == "true")
		}
	case reflect.Float64:
		s.bindFloat(n, key, target)
	default:
		s.bindInteger(n, key, target)
	}
}

// expectKind reports whether a node is of a kind, and records a finding if not.
func (s *Source) expectKind(n *node, key string, want kind) bool {
	if n.kind == want {
		return true
	}
	s.addAt(n.position, key, "is "+n.kind.String(), want.String())
	return false
}

func (s *Source) bindDuration(n *node, key string, target reflect.Value) {
	if n.kind != stringKind {
		s.addAt(n.position, key, "is "+n.kind.String(), wantDuration)
		return
	}
	d, err := time.ParseDuration(n.scalar)
	if err != nil {
		s.addAt(n.position, key, quote(n.scalar)+" is not a duration", wantDuration)
		return
	}
	if d < 0 {
		s.addAt(n.position, key, quote(n.scalar)+" is negative", "a duration of 0 or more")
		return
	}
	target.SetInt(int64(d))
}

// bindText sets a target that parses its own text. The target's error is what the
// finding says is wanted. The finding leaves the value out, because it may be a secret
// in the wrong place.
func (s *Source) bindText(n *node, key string, target encoding.TextUnmarshaler) {
	text := ""
	problem := "is " + n.kind.String()
	if n.kind == stringKind {
		text, problem = n.scalar, "is not valid"
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		s.addAt(n.position, key, problem, err.Error())
	}
}

func (s *Source) bindSlice(n *node, key string, target reflect.Value) {
	if !s.expectKind(n, key, arrayKind) {
		return
	}
	items := reflect.MakeSlice(target.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		s.bind(item, itemKey(key, i), items.Index(i))
	}
	target.Set(items)
}

func (s *Source) bindFloat(n *node, key string, target reflect.Value) {
	if n.kind != floatKind && n.kind != integerKind {
		s.addAt(n.position, key, "is "+n.kind.String(), "a number")
		return
	}
	f, err := n.float()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		s.addAt(n.position, key, n.scalar+" is not a finite number", "a number")
		return
	}
	target.SetFloat(f)
}

func (s *Source) bindInteger(n *node, key string, target reflect.Value) {
	if !s.expectKind(n, key, integerKind) {
		return
	}
	i, err := n.integer()
	unsigned := target.CanUint()
	if err == nil && unsigned && i >= 0 && !target.OverflowUint(uint64(i)) {
		target.SetUint(uint64(i))
		return
	}
	if err == nil && !unsigned && !target.OverflowInt(i) {
		target.SetInt(i)
		return
	}
	want := "an integer"
	if unsigned {
		want = "an integer of 0 or more"
	}
	s.addAt(n.position, key, n.scalar+" is out of range", want)
}

func quote(text string) string { return `"` + text + `"` }
