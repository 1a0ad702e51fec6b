package ident

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ContentHash is a hash of what a request asks for: requests of one client account with the
// same method, host, path, query and body have the same one, whatever their IDs are. Its
// upper 32 bits are the hash of all but the body, and its lower 32 bits come from the
// body's hash, with the lowest byte zero.
type ContentHash uint64

// OutlineHash is the part of a content hash that is computed without the body: a hash of
// client account, method, host, path and query.
type OutlineHash uint32

const (
	// requestBits masks the bits of a packed content mark that tell requests with the same
	// content apart.
	requestBits = 0xff
	// outlineShift is the number of bits in a content hash below its outline.
	outlineShift = 32
)

// ContentHashOf returns the content hash for an outline and the hash of a body. It is never 0.
func ContentHashOf(outline OutlineHash, body uint64) ContentHash {
	return ContentHash(max(uint64(outline)<<outlineShift|body&(1<<outlineShift-1)&^requestBits, requestBits+1))
}

// Outline returns the outline in the content hash.
func (c ContentHash) Outline() OutlineHash { return OutlineHash(c >> outlineShift) }

// String returns the hash in hexadecimal, as in logs.
func (c ContentHash) String() string { return strconv.FormatUint(uint64(c), 16) }

// Feature returns the content as a feature.
func (c ContentHash) Feature() Feature { return Feature{Kind: ContentFeature, Value: uint64(c)} }

// FeatureKind is a kind of Feature.
type FeatureKind uint8

// The kinds of features.
const (
	// ContentFeature is a request's whole content; the value is its ContentHash.
	ContentFeature FeatureKind = iota + 1
	// PartFeature is one part of a prompt that other prompts may hold too, whoever sends them; the
	// value is the part's ID.
	PartFeature
)

// Feature is something that requests have in common, and that may be what makes each of them crash
// its upstream.
type Feature struct {
	Kind  FeatureKind
	Value uint64
}

// FeatureKinds are all kinds of features.
var FeatureKinds = [...]FeatureKind{ContentFeature, PartFeature}

var featureKindNames = [...]string{ContentFeature: "content", PartFeature: "part"}

// String returns the kind's name, as in logs and in operators' requests.
func (k FeatureKind) String() string { return featureKindNames[k] }

// String returns the feature's kind and its value in hexadecimal, as in logs and in operators'
// requests.
func (f Feature) String() string { return f.Kind.String() + "-" + strconv.FormatUint(f.Value, 16) }

// MarshalText returns the feature as String does, for logs.
func (f Feature) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// ParseFeature parses what String returns.
func ParseFeature(text string) (Feature, error) {
	name, value, _ := strings.Cut(text, "-")
	for _, kind := range FeatureKinds {
		if kind.String() == name {
			v, err := strconv.ParseUint(value, 16, 64)
			return Feature{Kind: kind, Value: v}, err
		}
	}
	return Feature{}, fmt.Errorf("%q names no kind of feature", name)
}

// Compare orders features by kind and value.
func (f Feature) Compare(o Feature) int {
	return cmp.Or(cmp.Compare(f.Kind, o.Kind), cmp.Compare(f.Value, o.Value))
}

// Valid reports whether the feature has a known kind and a value that a feature of that kind can have.
func (f Feature) Valid() bool {
	return f.Kind == PartFeature || f.Kind == ContentFeature && f.Value > requestBits && f.Value&requestBits == 0
}

// Mark says that a request with a feature was somewhere. Its tag tells the arrivals of the feature
// apart: for a content it is a byte of the hash of the request's ID, for a prompt part the Tag of the
// request's content. Two arrivals have the same one by chance once in 256.
type Mark struct {
	Feature Feature
	Tag     uint8
}

// ContentMark returns the mark of a content that arrived in a request.
func ContentMark(content ContentHash, id Request) Mark {
	return Mark{Feature: content.Feature(), Tag: uint8(xxhash.Sum64String(string(id)) & requestBits)}
}

// PartMark returns the mark of a prompt part that arrived in a request with a content.
func PartMark(part Feature, content ContentHash) Mark {
	return Mark{Feature: part, Tag: content.Tag()}
}

// Tag returns a byte that is drawn from all of the content hash.
func (c ContentHash) Tag() uint8 {
	// Fibonacci hashing: the highest byte of the product depends on all bits.
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	return uint8(uint64(c) * multiplier >> 56)
}

// Compare orders marks by feature and tag.
func (m Mark) Compare(o Mark) int {
	return cmp.Or(m.Feature.Compare(o.Feature), cmp.Compare(m.Tag, o.Tag))
}

// PackContentMark returns the mark of a content as one number: the content hash with the tag as its
// lowest byte.
func PackContentMark(m Mark) uint64 { return m.Feature.Value | uint64(m.Tag) }

// UnpackContentMark returns the mark that PackContentMark packed.
func UnpackContentMark(packed uint64) Mark {
	return Mark{Feature: Feature{Kind: ContentFeature, Value: packed &^ requestBits}, Tag: uint8(packed & requestBits)}
}
