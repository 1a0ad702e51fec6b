package ident

import (
	"strconv"

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
	// requestBits masks the bits of a Mark that tell requests with the same content
	// apart.
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

// String returns the hash in hexadecimal, as in logs and in operators' requests.
func (c ContentHash) String() string { return strconv.FormatUint(uint64(c), 16) }

// ParseContentHash parses the text of a content hash.
func ParseContentHash(text string) (ContentHash, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	return ContentHash(v), err
}

// Mark is a content hash whose lowest byte is that of the hash of a request's ID. Two
// requests with the same content have the same Mark by chance once in 256.
type Mark uint64

// MarkOf returns the Mark of a request with a content hash and an ID.
func MarkOf(content ContentHash, id Request) Mark {
	return Mark(uint64(content) | xxhash.Sum64String(string(id))&requestBits)
}

// Content returns the content hash in the Mark.
func (m Mark) Content() ContentHash { return ContentHash(m &^ requestBits) }
