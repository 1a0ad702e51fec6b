// Package prompt measures prompts: their tokens, and the hashes of their
// prefix blocks, by which gateways and engines name cached prefixes.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token, by which gateways
	// estimate and the stand-in engine counts.
	BytesPerToken = 4
	// BlockTokens is the length of a prefix block in tokens.
	BlockTokens = 64
	blockBytes  = BytesPerToken * BlockTokens
)

// Tokens returns the number of tokens of a text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns one hash for each whole block of the text. The hash of a
// block covers the whole text up to the block's end, so that two texts share
// their first n hashes exactly when they share their first n blocks.
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
