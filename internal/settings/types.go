package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
)

// Size is a number of bytes. In a settings file it is a string with a unit.
type Size int64

// sizeUnits are tried in this order, because "B" is a suffix of the others.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// maxSize bounds a size in bytes, so that the product of number and unit cannot
// overflow.
const maxSize = 1 << 40

// UnmarshalText parses a size with its unit. The error says what is wanted, for
// use in a finding.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 0 || n > maxSize/unit.bytes {
			break
		}
		*s = Size(n * unit.bytes)
		return nil
	}
	return errors.New(`a size with a unit, such as "512B", "64KiB" or "1MiB"`)
}

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// UnmarshalText parses a digest in hexadecimal. The error says what is wanted,
// for use in a finding.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != sha256.Size {
		return errors.New("the SHA-256 of the token as 64 hexadecimal digits")
	}
	copy(d[:], decoded)
	return nil
}
