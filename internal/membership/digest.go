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

// Digest is a message for one peer with the changes that it has not merged yet.
// Changes of a table are numbered; see Table.Sequence.
type Digest struct {
	// Facts are the entries with a change of kind Fact or Departure.
	Facts []Entry
	// Figures are the entries of which only the proof of life and the load
	// have changed.
	Figures []Entry
	// Sequence and FiguresSequence are the numbers up to which the peer knows
	// all facts and all figures once it has merged the digest.
	Sequence, FiguresSequence uint64
}

// Position holds the numbers of the last changes up to which a peer has merged
// facts and figures.
type Position struct {
	Facts, Figures uint64
}

// Full returns a digest with all entries as facts.
func (t *Table) Full() Digest {
	digest := Digest{Sequence: t.sequence, FiguresSequence: t.sequence}
	for _, r := range t.records {
		digest.Facts = append(digest.Facts, r.Entry)
	}
	return digest
}

// DeltaSince returns the changes that a peer at a position has not merged yet,
// without those that came from this peer. The digest holds all such facts but at
// most maxFigures figures, the oldest changes first; the rest goes into the next
// digest.
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

// IncarnationKey returns a hash that identifies one incarnation of an instance. Messages
// with figures carry it in place of the ID, which would take most of their bytes.
func IncarnationKey(e Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.ID))
	var tail [8]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(e.Incarnation))
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// FindByKey returns the entry of the incarnation that a key identifies.
func (t *Table) FindByKey(key uint64) (Entry, bool) {
	return t.Find(t.byKey[key])
}

// Checksum returns a hash of the incarnations and states of all instances that
// are not gone. Two processes with equal checksums hold the same facts and need
// not exchange them. The hash does not depend on the order in which the facts
// arrived.
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

// EqualThrough returns the number up to which a peer with the same checksum
// knows all facts; the peer is known to have all up to after. The checksum leaves
// out gone instances, so the result stays below the first fact after that number
// about an instance that is now gone.
func (t *Table) EqualThrough(after uint64) uint64 {
	through := t.sequence
	for _, r := range t.records {
		if r.State == blackboard.Gone && r.factSequence > after {
			through = min(through, r.factSequence-1)
		}
	}
	return through
}

// factHash combines the key with the state. The multiplier is odd, so that no
// two states of one incarnation have the same hash.
func factHash(e Entry) uint64 {
	const mix = 0x9e3779b97f4a7c15
	return (IncarnationKey(e) + uint64(e.State)) * mix
}

// SuspicionTimeouts holds the ages of the last proof of life above which an instance is
// suspect.
type SuspicionTimeouts struct {
	// Local applies to upstreams in this process's own failure domain, Remote to
	// all other instances, whose proofs of life are passed on less often.
	Local  time.Duration
	Remote time.Duration
}

// EffectiveState returns the state that this process acts on: the merged state, or
// Suspect for an instance that is alive but has no recent proof of life. A
// suspect instance is not treated as gone, because this process itself may be
// the one that is cut off.
func (t *Table) EffectiveState(e Entry, limits SuspicionTimeouts, now time.Time) blackboard.MemberState {
	if e.State != blackboard.Alive || e.ID == t.self {
		return e.State
	}
	limit := limits.Remote
	if e.FailureDomain == t.domain && e.PeerAddress == "" {
		limit = limits.Local
	}
	if e.LastSeen.IsZero() || now.Sub(e.LastSeen) > limit {
		return blackboard.Suspect
	}
	return blackboard.Alive
}
