package lease

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Horizon is the age, by the log's own clock, above which a lease's newest record
// no longer counts, so that any claim is accepted. The log must keep records for
// at least twice as long. Horizon is many times the length of a lease, so nobody
// acts under a record of that age.
//
// Without it, a reader that started after old records had expired from the log,
// and a reader that still remembers them, would decide the same claim
// differently.
const Horizon = 5 * time.Minute

// Entry is the newest accepted record of a lease.
type Entry struct {
	Record Record
	Offset ident.Offset
	// Fence is the fencing number of the record's holder.
	Fence ident.Fence
	// AppendedAt is a time of the log's clock; compare it only with others of
	// that clock.
	AppendedAt time.Time
}

// Released reports whether the holder has released the lease.
func (e Entry) Released() bool { return e.Record.Kind == Release }

// Verdict is the result of applying a record to a State.
type Verdict int

// The verdicts.
const (
	// Ignored: the record was applied before, or its data is no record that this
	// program understands.
	Ignored Verdict = iota
	Accepted
	Rejected
	// Undecided: earlier records of the lease were not read; a later record
	// shows whether this one was accepted.
	Undecided
)

// State is the result of applying the records of the stream in their order. All
// processes that read the same records get the same state. The zero value is the
// state before the first record.
type State struct {
	nextOffset ident.Offset
	entries    map[Name]Entry
	// undecided holds the records of each lease that supersede a record which
	// was not read.
	undecided map[Name][]Entry
	// partial means that records from before the first one read may still count.
	partial bool
	// firstAppendedAt is the time, by the log's clock, of the first record read.
	firstAppendedAt time.Time
}

// StateFrom returns a state whose first record is the one at offset first,
// because those before it have expired from the log.
func StateFrom(first ident.Offset) *State {
	return &State{nextOffset: first, partial: first > 0}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() ident.Offset { return s.nextOffset }

// Find returns the newest accepted record of a lease.
func (s *State) Find(name Name) (Entry, bool) {
	entry, ok := s.entries[name]
	return entry, ok
}

// MarkHeadReached must be called when all records that the log keeps have been
// applied. Those that the log no longer keeps are older than Horizon, so none of
// them counts against a record that is appended from now on.
func (s *State) MarkHeadReached() { s.partial = false }

// Decided reports whether the result of Find is certain for a lease. It is not
// while earlier records that were not read may count, or while records are
// Undecided.
func (s *State) Decided(name Name) bool {
	return !s.partial && len(s.undecided[name]) == 0
}

// Apply applies the next record of the stream and returns it with its verdict.
// A record that was already applied is Ignored.
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

// decide returns the verdict on a record, given the state before it.
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

// acceptedIf returns Accepted or Rejected.
func acceptedIf(accepted bool) Verdict {
	if accepted {
		return Accepted
	}
	return Rejected
}

// outdated reports whether an entry is too old to count against a later one.
func outdated(entry, later Entry) bool {
	return later.AppendedAt.Sub(entry.AppendedAt) > Horizon
}

// validSuccessor reports whether candidate may follow current, the newest accepted
// record. Of several records that supersede current, the first in the log is
// accepted; the others then supersede a record that is no longer the newest.
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

// noEarlierCounts reports whether no earlier record of the lease can count
// against candidate, read or not.
func (s *State) noEarlierCounts(candidate Entry) bool {
	for _, entry := range s.undecided[candidate.Record.Name] {
		if !outdated(entry, candidate) {
			return false
		}
	}
	return !s.partial || candidate.AppendedAt.Sub(s.firstAppendedAt) > Horizon
}

// confirmsUndecided reports whether candidate is a valid successor of an
// undecided record. Then that record was accepted: the writer of candidate knew
// it as the newest accepted record.
func (s *State) confirmsUndecided(candidate Entry) bool {
	for _, entry := range s.undecided[candidate.Record.Name] {
		if validSuccessor(entry, candidate) {
			return true
		}
	}
	return false
}

// store records the verdict on an entry.
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
