// Package prompt computes the number of tokens of a prompt and the hashes of its prefix
// blocks, by which gateways and engines identify cached prefixes.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token. Gateways use it as an estimate;
	// for the stand-in engine it is exact.
	BytesPerToken = 4
	// BlockTokens is the number of tokens of a prefix block.
	BlockTokens = 64
	blockBytes  = BytesPerToken * BlockTokens
)

// Tokens returns the number of tokens of a text, rounded up.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns one hash for each whole block of the text. The hash of a block covers
// the text from its beginning to the block's end, so that two texts have the same first
// n hashes exactly when they have the same first n blocks.
func Blocks(text string) []uint64 {
	blocks := make([]uint64, 0, len(text)/blockBytes)
	var link [8]byte
	var digest xxhash.Digest
	previous := uint64(0)
	for end := blockBytes; end <= len(text); end += blockBytes {
		binary.LittleEndian.PutUint64(link[:], previous)
		digest.Reset()
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(text[end-blockBytes : end])
		previous = digest.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}
