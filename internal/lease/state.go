package lease

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Horizon is the age, by the log's own clock, at which a lease's newest record
// no longer counts: any claim is accepted then. The log must keep records for
// at least twice as long. It is many times the length of a lease, so nobody
// acts under a record of that age.
//
// Without it a reader that started after old records expired, and a reader
// that still remembers them, would decide the same claim differently.
const Horizon = 5 * time.Minute

// Entry is the newest accepted record of a lease.
type Entry struct {
	Record Record
	Offset ident.Offset
	// Fence of the holder that the record names.
	Fence ident.Fence
	// AppendedAt is the log's clock; compare it only with itself.
	AppendedAt time.Time
}

// Released reports whether nobody holds the lease.
func (e Entry) Released() bool { return e.Record.Kind == Release }

// Verdict is what the fold made of a record.
type Verdict int

// The verdicts.
const (
	// Ignored: the bytes are no record that this program understands.
	Ignored Verdict = iota
	Accepted
	Rejected
	// Undecided: a record before it was not read, so it takes a later
	// record to tell.
	Undecided
)

// State is the fold of the leases' stream. Equal records give equal states,
// whoever reads them. The zero value is the state at offset 0.
type State struct {
	nextOffset ident.Offset
	entries    map[Name]Entry
	// undecided are records that name a record which was not read.
	undecided map[Name][]Entry
	// partial: records before the first one read may count still.
	partial bool
	// firstAppendedAt is the log's time of the first record that was read.
	firstAppendedAt time.Time
}

// StateFrom returns a state that reads from an offset on, because the records
// before it have expired.
func StateFrom(first ident.Offset) *State {
	return &State{nextOffset: first, partial: first > 0}
}

// Next is the offset of the next record to apply.
func (s *State) Next() ident.Offset { return s.nextOffset }

// Find returns the newest accepted record of a lease.
func (s *State) Find(name Name) (Entry, bool) {
	entry, ok := s.entries[name]
	return entry, ok
}

// MarkHeadReached tells that all records which the log keeps were applied. Those
// that it no longer keeps are older than the horizon, so that none of them
// counts against a record that is appended from now on.
func (s *State) MarkHeadReached() { s.partial = false }

// Decided reports whether Find's answer for a lease is final. Otherwise a
// later record tells which of the undecided ones counted.
func (s *State) Decided(name Name) bool {
	return !s.partial && len(s.undecided[name]) == 0
}

// Apply folds the next record of the stream and returns the record with what
// became of it. Records that were applied already are ignored.
func (s *State) Apply(raw platform.Record) (Record, Verdict) {
	if raw.Offset < s.nextOffset {
		return Record{}, Ignored
	}
	s.nextOffset = raw.Offset + 1
	if s.firstAppendedAt.IsZero() {
		s.firstAppendedAt = raw.AppendedAt
	}
	record, err := Decode(raw.Data)
	if err != nil {
		return Record{}, Ignored
	}
	candidate := newEntry(record, raw)
	verdict := s.decide(candidate)
	s.store(candidate, verdict)
	return record, verdict
}

func newEntry(record Record, raw platform.Record) Entry {
	entry := Entry{Record: record, Offset: raw.Offset, AppendedAt: raw.AppendedAt, Fence: record.Fence}
	if record.Kind == Claim {
		entry.Fence = fenceOf(raw.Offset)
	}
	return entry
}

// decide decides one record against the state before it.
func (s *State) decide(candidate Entry) Verdict {
	name := candidate.Record.Name
	current, known := s.entries[name]
	switch {
	case known && !outdated(current, candidate):
		return acceptedIf(validSuccessor(current, candidate))
	case known || s.noEarlierCounts(candidate):
		return acceptedIf(candidate.Record.Kind == Claim)
	case s.confirmsUndecided(candidate):
		return Accepted
	}
	return Undecided
}

func acceptedIf(accepted bool) Verdict {
	if accepted {
		return Accepted
	}
	return Rejected
}

// outdated reports whether an entry no longer counts against a later one.
func outdated(entry, later Entry) bool {
	return later.AppendedAt.Sub(entry.AppendedAt) > Horizon
}

// validSuccessor reports whether a record is a valid successor. The first record in
// the log that names the newest one wins; all others name an older one then.
func validSuccessor(current, candidate Entry) bool {
	if candidate.Record.Supersedes != LinkTo(current.Offset) {
		return false
	}
	if candidate.Record.Kind == Claim {
		return true
	}
	sameHolder := candidate.Record.Holder == current.Record.Holder
	return sameHolder && !current.Released() && candidate.Fence == current.Fence
}

// noEarlierCounts reports whether no record before candidate can count.
func (s *State) noEarlierCounts(candidate Entry) bool {
	for _, entry := range s.undecided[candidate.Record.Name] {
		if !outdated(entry, candidate) {
			return false
		}
	}
	return !s.partial || candidate.AppendedAt.Sub(s.firstAppendedAt) > Horizon
}

// confirmsUndecided reports whether candidate names a record that could not be
// decided. Its writer knew that record as accepted, or it would not build on
// it.
func (s *State) confirmsUndecided(candidate Entry) bool {
	for _, entry := range s.undecided[candidate.Record.Name] {
		if validSuccessor(entry, candidate) {
			return true
		}
	}
	return false
}

func (s *State) store(entry Entry, verdict Verdict) {
	name := entry.Record.Name
	switch verdict {
	case Accepted:
		if s.entries == nil {
			s.entries = make(map[Name]Entry)
		}
		s.entries[name] = entry
		delete(s.undecided, name)
	case Undecided:
		if s.undecided == nil {
			s.undecided = make(map[Name][]Entry)
		}
		s.undecided[name] = append(s.undecided[name], entry)
	}
}
