package ident

import (
	"cmp"
	"strconv"
)

// Position is the place of a record in a keyed topic of the platform's store, or the end of the topic: the
// place that the next record gets. Positions are ordered by their era first, so that a record of the log that
// came back from an older copy follows all records that were read before, whatever its offset. The offsets of
// two positions can be compared only here. The zero value is no position and precedes all others.
type Position struct {
	era Era
	// index is the offset plus one; 0 precedes the first record of the era.
	index uint64
	// kept is set if the position stands for what was known before the era and contradicts the record at
	// the offset, which is from the older copy. It follows that record.
	kept bool
}

// NewPosition returns the position of the record at an offset of an era's log.
func NewPosition(era Era, offset uint64) Position { return Position{era: era, index: offset + 1} }

// Parts returns a position's era and offset, for messages and calls. ok is false if it precedes the first record of
// its log; the offset is then one from which NewPosition returns the position too.
func (p Position) Parts() (era Era, offset uint64, ok bool) { return p.era, p.index - 1, p.index > 0 }

// Era returns the era of the log that the position is in.
func (p Position) Era() Era { return p.era }

// SameEra reports whether two positions are in one log.
func (p Position) SameEra(q Position) bool { return p.era == q.era }

// InNewEra reports whether p is in a later era than known, which is not zero.
func (p Position) InNewEra(known Position) bool { return !known.IsZero() && p.era > known.era }

// IsZero reports whether p is no position.
func (p Position) IsZero() bool { return p == Position{} }

// IsFirst reports whether p is the position of the first record of its log.
func (p Position) IsFirst() bool { return p.index <= 1 }

// Compare returns -1, 0 or 1 if p precedes, equals or follows q.
func (p Position) Compare(q Position) int {
	if c := cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.index, q.index)); c != 0 || p.kept == q.kept {
		return c
	}
	if p.kept {
		return 1
	}
	return -1
}

// Equal reports whether two positions are the same. Comparisons of whole values in tests call it.
func (p Position) Equal(q Position) bool { return p == q }

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p follows q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Later returns the later of two positions.
func (p Position) Later(q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// Next returns the position after p in the same log.
func (p Position) Next() Position { return Position{era: p.era, index: p.index + 1} }

// Previous returns the position before p in the same log.
func (p Position) Previous() Position { return p.Back(1) }

// Back returns the position n before p in the same log, or the one before its first record.
func (p Position) Back(n uint64) Position {
	return Position{era: p.era, index: p.index - min(n, p.index)}
}

// FirstOf returns the position of the first record of p's log.
func (p Position) FirstOf() Position { return NewPosition(p.era, 0) }

// In returns the position with the same offset in another era.
func (p Position) In(era Era) Position { return Position{era: era, index: p.index} }

// MayBeCopyOf reports whether the record at p may be one that precedes the record at known, or is that record
// itself, in the older copy that a later era began with. Otherwise it was written in the later era.
func (p Position) MayBeCopyOf(known Position) bool {
	return p.era > known.era && p.index <= known.index
}

// SameOffset reports whether a later era may have p's record from the log that q is in.
func (p Position) SameOffset(q Position) bool { return p.index == q.index }

// Kept returns the position of what is known although the record at p, which is from an older copy, contradicts
// it.
func (p Position) Kept() Position { return Position{era: p.era, index: p.index, kept: true} }

// IsKept reports whether the position is one that Kept returned.
func (p Position) IsKept() bool { return p.kept }

// fenceOffsetBits is the part of a fencing number that is the offset of the claim in its era. A lease that is
// written twice a second uses it up in 68 years.
const fenceOffsetBits = 32

// Fence returns the fencing number of a claim that is recorded at p: higher than that of every claim before,
// also in earlier eras. It returns 0, which is no fencing number, if the offset is too high for one.
func (p Position) Fence() Fence {
	if p.index>>fenceOffsetBits > 0 || uint64(p.era)>>(64-fenceOffsetBits) > 0 {
		return 0
	}
	return Fence(uint64(p.era)<<fenceOffsetBits | p.index)
}

// String returns the form of the position in logs and on pages: "era/offset", and "+" if it is kept.
func (p Position) String() string {
	if p.IsZero() {
		return "none"
	}
	text := strconv.FormatUint(uint64(p.era), 10) + "/"
	if p.index > 0 {
		text += strconv.FormatUint(p.index-1, 10)
	}
	if p.kept {
		text += "+"
	}
	return text
}

// MarshalText implements encoding.TextMarshaler, for logs in JSON.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
