package document

import (
	configv1 "github.com/goldcrestspool/goldcrestspool/api/config/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// snapshot is a State in the form in which the log holds it.
type snapshot struct {
	// covers is the first offset that is not part of the state.
	covers ident.Offset
	// records holds the state's publications, ascending by revision.
	records []AcceptedPublication
}

// EmptyState returns a state without documents whose next offset is next. It is for
// a stream whose records below next are lost for good.
func EmptyState(next ident.Offset) State { return State{nextOffset: next} }

// EncodeSnapshot returns a state as a snapshot record for the log. Two processes
// with the state at the same offset get equal records, so it is harmless if both
// write one.
func EncodeSnapshot(s State) ([]byte, error) {
	out := &configv1.Snapshot{Covers: uint64(s.nextOffset)}
	for _, a := range s.recordsAbove(0) {
		out.Records = append(out.Records, &configv1.AcceptedRecord{
			Revision: uint64(a.Revision),
			Record:   a.record,
		})
	}
	return encode(&configv1.Record{Kind: &configv1.Record_Snapshot{Snapshot: out}})
}

func decodeSnapshot(s *configv1.Snapshot) (*snapshot, error) {
	out := &snapshot{covers: ident.Offset(s.GetCovers())}
	last := ident.Revision(0)
	for _, r := range s.GetRecords() {
		a, err := decodeAccepted(ident.Revision(r.GetRevision()), r.GetRecord())
		if err != nil {
			return nil, err
		}
		if a.Revision <= last || a.Revision > ident.Revision(out.covers) {
			return nil, errcode.New(errcode.InvalidArgument, "snapshot with revisions out of order")
		}
		last = a.Revision
		out.records = append(out.records, a)
	}
	return out, nil
}

// state returns the state that the snapshot holds.
func (s *snapshot) state() State {
	var b stateBuilder
	for _, a := range s.records {
		b.accept(a)
	}
	b.state.nextOffset = s.covers
	return b.state
}

// Delta is what one process sends another about the configuration above a
// revision.
type Delta struct {
	// Records are the publications above that revision that State.Versions of
	// some service returns, ascending by revision.
	Records []DeltaRecord
	// CompleteThrough is the revision up to which Records are complete.
	CompleteThrough ident.Revision
}

// DeltaRecord is an accepted publication.
type DeltaRecord struct {
	Revision ident.Revision
	// Record is the publication's record as the log holds it.
	Record []byte
}

// Delta returns the configuration that a process lacks if its state is complete up to
// the revision above.
func (s State) Delta(above ident.Revision) Delta {
	d := Delta{CompleteThrough: s.CompleteThrough()}
	for _, a := range s.recordsAbove(above) {
		d.Records = append(d.Records, DeltaRecord{Revision: a.Revision, Record: a.record})
	}
	return d
}

// Merge returns the state with the delta of another process added to it. The delta
// must have been requested for s.CompleteThrough() or a lower revision. A delta that
// reaches no further than the state is rejected, because it could only revert it.
// Errors: errcode.FailedPrecondition for such a delta, errcode.InvalidArgument for
// an invalid one.
func (s State) Merge(d Delta) (State, error) {
	if d.CompleteThrough <= s.CompleteThrough() {
		return s, errcode.Errorf(errcode.FailedPrecondition,
			"delta through revision %d is not newer than %d", d.CompleteThrough, s.CompleteThrough())
	}
	b := stateBuilder{state: s}
	last := s.CompleteThrough()
	for _, r := range d.Records {
		if r.Revision <= s.CompleteThrough() {
			continue
		}
		a, err := decodeAccepted(r.Revision, r.Record)
		if err != nil {
			return s, err
		}
		if a.Revision <= last || a.Revision > d.CompleteThrough {
			return s, errcode.New(errcode.InvalidArgument, "delta with revisions out of order")
		}
		last = a.Revision
		b.accept(a)
	}
	b.state.nextOffset = ident.Offset(d.CompleteThrough)
	return b.state, nil
}
