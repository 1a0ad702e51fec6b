package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Digest is what a peer has not merged yet.
type Digest struct {
	// Facts are entries whose state matters to the receiver.
	Facts []Entry
	// Figures are entries of which only proof of life and load are new.
	Figures []Entry
	// Sequence and FiguresSequence are the numbers up to which the peer is
	// informed once it has merged both.
	Sequence, FiguresSequence uint64
}

// Position is how far a peer has merged facts and figures.
type Position struct {
	Facts, Figures uint64
}

// Full returns all entries as facts.
func (t *Table) Full() Digest {
	digest := Digest{Sequence: t.sequence, FiguresSequence: t.sequence}
	for _, r := range t.records {
		digest.Facts = append(digest.Facts, r.Entry)
	}
	return digest
}

// DeltaSince returns what a peer at a position has not merged. It carries all
// facts but at most maxFigures figures, the oldest changes first; what is left
// comes with the next digest.
func (t *Table) DeltaSince(after Position, to ident.Instance, maxFigures int) Digest {
	digest := Digest{Sequence: t.sequence, FiguresSequence: t.sequence}
	var figures []*record
	for _, r := range t.records {
		switch {
		case r.factSequence > after.Facts && r.factFrom != to:
			digest.Facts = append(digest.Facts, r.Entry)
		case r.figuresSequence > after.Figures && r.figuresFrom != to:
			figures = append(figures, r)
		}
	}
	if len(figures) > maxFigures {
		slices.SortFunc(figures, func(a, b *record) int { return cmp.Compare(a.figuresSequence, b.figuresSequence) })
		figures = figures[:maxFigures]
		digest.FiguresSequence = after.Figures
		if maxFigures > 0 {
			digest.FiguresSequence = figures[maxFigures-1].figuresSequence
		}
	}
	for _, r := range figures {
		digest.Figures = append(digest.Figures, r.Entry)
	}
	return digest
}

// Key stands for one life of an instance in figures, where an ID would take
// most of the bytes.
func Key(e Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.ID))
	var tail [8]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(e.Incarnation))
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// FindKey returns the entry with a key.
func (t *Table) FindKey(key uint64) (Entry, bool) {
	return t.Find(t.byKey[key])
}

// Checksum stands for all facts of instances that are not gone. Two processes
// with equal checksums hold the same facts, so that they need not exchange
// them. It does not depend on the order of events.
func (t *Table) Checksum() uint64 {
	if t.checksumSequence == t.lastFactSequence {
		return t.checksum
	}
	var sum uint64
	for _, r := range t.records {
		if r.State != blackboard.Gone {
			sum += factHash(r.Entry)
		}
	}
	t.checksum, t.checksumSequence = sum, t.lastFactSequence
	return sum
}

// EqualThrough returns the number up to which a peer with the same checksum has
// all facts. The checksum says nothing of gone instances, so it is below the
// first end after the number up to which the peer has all for certain.
func (t *Table) EqualThrough(after uint64) uint64 {
	through := t.sequence
	for _, r := range t.records {
		if r.State == blackboard.Gone && r.factSequence > after {
			through = min(through, r.factSequence-1)
		}
	}
	return through
}

// factHash mixes the state into the key; the multiplier is odd, so that no two
// states of one life are the same.
func factHash(e Entry) uint64 {
	const mix = 0x9e3779b97f4a7c15
	return (Key(e) + uint64(e.State)) * mix
}

// Suspicion says how old a proof of life may be.
type Suspicion struct {
	// Local and Remote are the limits for upstreams of the own failure domain
	// and for all others, whose proofs are passed on less often.
	Local  time.Duration
	Remote time.Duration
}

// Effective returns the state by which this process acts: the merged state, or
// suspect for an instance without a recent proof of life. A suspect instance
// is not gone: this process may be the one that is cut off.
func (t *Table) Effective(e Entry, limits Suspicion, now time.Time) blackboard.MemberState {
	if e.State != blackboard.Alive || e.ID == t.self {
		return e.State
	}
	limit := limits.Remote
	if e.FailureDomain == t.domain && e.PeerAddress == "" {
		limit = limits.Local
	}
	if e.Seen.IsZero() || now.Sub(e.Seen) > limit {
		return blackboard.Suspect
	}
	return blackboard.Alive
}
