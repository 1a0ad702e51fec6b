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

// Line is an entry of a digest.
type Line struct {
	Entry
	// Fact: state and description matter to the receiver. Otherwise the line
	// only carries proof of life and load.
	Fact bool
}

// Digest is what a peer has not merged yet.
type Digest struct {
	Lines []Line
	// Sequence is the number up to which the peer is informed once it has
	// merged the lines.
	Sequence uint64
	// FactsThrough is the number up to which it has all facts then. It is
	// higher than Sequence when not all figures had room.
	FactsThrough uint64
}

// Full returns all entries as facts.
func (t *Table) Full() Digest {
	lines := make([]Line, 0, len(t.records))
	for _, r := range t.records {
		lines = append(lines, Line{Entry: r.Entry, Fact: true})
	}
	return Digest{Lines: lines, Sequence: t.sequence, FactsThrough: t.sequence}
}

// DeltaSince returns the changes with a number above after for one peer. It
// carries all facts but at most maxFigures lines of other kinds, the oldest
// changes first; what is left comes with the next digest.
func (t *Table) DeltaSince(after uint64, to ident.Instance, maxFigures int) Digest {
	var facts, figures []*record
	for _, r := range t.records {
		switch {
		case r.factAt > after && r.factFrom != to:
			facts = append(facts, r)
		case r.figuresAt > after && r.figuresFrom != to:
			figures = append(figures, r)
		}
	}
	digest := Digest{Sequence: t.sequence, FactsThrough: t.sequence}
	if len(figures) > maxFigures {
		slices.SortFunc(figures, func(a, b *record) int { return cmp.Compare(a.figuresAt, b.figuresAt) })
		figures = figures[:maxFigures]
		digest.Sequence = figures[maxFigures-1].figuresAt
	}
	digest.Lines = make([]Line, 0, len(facts)+len(figures))
	for _, r := range facts {
		digest.Lines = append(digest.Lines, Line{Entry: r.Entry, Fact: true})
	}
	for _, r := range figures {
		digest.Lines = append(digest.Lines, Line{Entry: r.Entry})
	}
	return digest
}

// Checksum stands for all facts of instances that are not gone. Two processes
// with equal checksums hold the same facts, so that they need not exchange
// them. It does not depend on the order of events. Every heartbeat carries it,
// so it is kept until a fact changes; forgetting a gone instance changes none.
func (t *Table) Checksum() uint64 {
	if t.summed {
		return t.checksum
	}
	t.checksum = 0
	for _, r := range t.records {
		if r.State != blackboard.Gone {
			t.checksum += factHash(r.Entry)
		}
	}
	t.summed = true
	return t.checksum
}

func factHash(e Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.ID))
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(e.Incarnation))
	tail[8] = byte(e.State)
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// Suspicion says how old a proof of life may be.
type Suspicion struct {
	// Local and Remote are the limits for instances of the own failure
	// domain and of others, whose proofs arrive later.
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
	if e.FailureDomain == t.domain {
		limit = limits.Local
	}
	if e.Seen.IsZero() || now.Sub(e.Seen) > limit {
		return blackboard.Suspect
	}
	return blackboard.Alive
}
