// Package answer computes the answers of the stand-in upstreams. An answer depends
// on nothing but its request, so that any checker can compute the complete answer in
// advance.
package answer

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Token returns the token at an index, counted from 0, of the answer to a prompt.
func Token(prompt string, index int) string {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(prompt)
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(index))
	_, _ = digest.Write(position[:])
	return strconv.FormatUint(digest.Sum64()>>32, 36)
}

// Tokens returns the first n tokens of the answer to a prompt.
func Tokens(prompt string, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = Token(prompt, i)
	}
	return tokens
}

// Reply returns a plain service's answer to a call of a method with a payload.
func Reply(method ident.Method, payload []byte) []byte {
	sum := xxhash.Sum64(payload)
	return []byte(string(method) + " " + strconv.FormatUint(sum, 36))
}
