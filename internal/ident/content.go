package ident

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Content tells requests apart by what they ask for: requests of one client account with
// the same method, host, path, query and body have the same, whatever their IDs are. Its
// high half is that of all but the body, and its low byte is zero.
type Content uint64

// Outline is the part of a content that is known without reading the body.
type Outline uint32

const (
	// requestBits is the byte of a Mark that tells requests with the same content apart.
	requestBits  = 0xff
	outlineShift = 32
)

// ContentOf returns the content of an outline and the hash of a body. It is never 0.
func ContentOf(outline Outline, body uint64) Content {
	return Content(max(uint64(outline)<<outlineShift|body&(1<<outlineShift-1)&^requestBits, requestBits+1))
}

// Outline returns the content's.
func (c Content) Outline() Outline { return Outline(c >> outlineShift) }

// String is the content's name in logs and for operators.
func (c Content) String() string { return strconv.FormatUint(uint64(c), 16) }

// ParseContent reads what String wrote.
func ParseContent(text string) (Content, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	return Content(v), err
}

// Mark is a content with some bits of the ID of one request with it: of two such requests
// the marks are equal once in 256.
type Mark uint64

// MarkOf returns a request's mark.
func MarkOf(content Content, id Request) Mark {
	return Mark(uint64(content) | xxhash.Sum64String(string(id))&requestBits)
}

// Content returns the content that the mark is of.
func (m Mark) Content() Content { return Content(m &^ requestBits) }
