package ident

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Content is a hash of what a request asks for: requests of one client account with the
// same method, host, path, query and body have the same Content, whatever their IDs are.
// Its upper 32 bits are the Outline, the others are of the body's hash. Its low byte is
// zero.
type Content uint64

// Outline is the part of a Content that is computed without the body: a hash of client
// account, method, host, path and query.
type Outline uint32

const (
	// requestBits masks the bits of a Mark that tell requests with the same Content apart.
	requestBits = 0xff
	// outlineShift is the number of bits below the Outline in a Content.
	outlineShift = 32
)

// ContentOf returns the Content for an Outline and the hash of a body. It is never 0.
func ContentOf(outline Outline, body uint64) Content {
	return Content(max(uint64(outline)<<outlineShift|body&(1<<outlineShift-1)&^requestBits, requestBits+1))
}

// Outline returns the Outline in the Content.
func (c Content) Outline() Outline { return Outline(c >> outlineShift) }

// String returns the Content in hexadecimal, as in logs and in operators' requests.
func (c Content) String() string { return strconv.FormatUint(uint64(c), 16) }

// ParseContent parses what Content.String returned.
func ParseContent(text string) (Content, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	return Content(v), err
}

// Mark is a Content together with eight bits of the hash of a request's ID. Two requests
// with the same Content have the same Mark by chance once in 256.
type Mark uint64

// MarkOf returns the Mark of a request with a Content and an ID.
func MarkOf(content Content, id Request) Mark {
	return Mark(uint64(content) | xxhash.Sum64String(string(id))&requestBits)
}

// Content returns the Content in the Mark.
func (m Mark) Content() Content { return Content(m &^ requestBits) }
