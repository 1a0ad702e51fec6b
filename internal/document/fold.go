package document

import (
	"cmp"
	"maps"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// State is the configuration after all records of the stream below an offset.
// It is immutable; the zero value is the state before the first record.
//
// Whether a publication is accepted depends on its base revision alone and never
// on the contents of its document, so that programs of different versions decide
// alike.
type State struct {
	nextOffset ident.Offset
	revision   ident.Revision
	// services holds, for each service, the accepted publications that a program
	// of some version may use: those after which none with the same or a
	// lower schema was accepted. They are in ascending order of revision, and
	// therefore of schema.
	services map[ident.Service][]AcceptedPublication
}

// Next returns the first offset that is not part of the state.
func (s State) Next() ident.Offset { return s.nextOffset }

// CompleteThrough returns the revision up to which the state is complete.
func (s State) CompleteThrough() ident.Revision { return ident.Revision(s.nextOffset) }

// Revision returns the revision of the newest accepted publication.
func (s State) Revision() ident.Revision { return s.revision }

// Current returns the publication in force of a service.
func (s State) Current(service ident.Service) (AcceptedPublication, bool) {
	versions := s.services[service]
	if len(versions) == 0 {
		return AcceptedPublication{}, false
	}
	return versions[len(versions)-1], true
}

// Versions returns the publications of a service that a program of some version may
// use, ascending by revision; the last one is in force.
func (s State) Versions(service ident.Service) []AcceptedPublication {
	return slices.Clone(s.services[service])
}

// Services returns the names of all services, sorted.
func (s State) Services() []ident.Service {
	return slices.Sorted(maps.Keys(s.services))
}

// DecisionKind is the kind of a Decision.
type DecisionKind string

// The kinds.
const (
	// AcceptedRecord: the publication is in force from its revision on.
	AcceptedRecord DecisionKind = "accepted"
	// RefusedRecord: the publication's base is not the service's revision.
	RefusedRecord DecisionKind = "refused"
	// SnapshotRecord: the record is a snapshot; it changes nothing for a reader
	// that has read all records before it.
	SnapshotRecord DecisionKind = "snapshot"
	// UnreadableRecord: the record cannot be decoded.
	UnreadableRecord DecisionKind = "unreadable"
)

// Decision is the result of applying one record.
type Decision struct {
	Offset ident.Offset
	Kind   DecisionKind
	// Publication is set for accepted and refused records.
	Publication Publication
	// CurrentRevision is the service's revision after an accepted or refused record.
	CurrentRevision ident.Revision
	// Covers is set for snapshots: the first offset that is not part of it.
	Covers ident.Offset
	// Problem is set for unreadable records and for snapshots that differ from
	// the state.
	Problem string
}

// Fold applies records, which must be in the order of their offsets, and returns
// the new state and one decision for each record. Records below the state's next
// offset are skipped, because they are already part of it.
func Fold(s State, records []platform.Record) (State, []Decision) {
	b := stateBuilder{state: s}
	for _, r := range records {
		if r.Offset >= b.state.nextOffset {
			b.apply(r)
		}
	}
	return b.state, b.decisions
}

// stateBuilder applies records to a state. It copies the state's map before the
// first change, because a State is immutable.
type stateBuilder struct {
	state     State
	copied    bool
	decisions []Decision
}

func (b *stateBuilder) apply(r platform.Record) {
	b.state.nextOffset = r.Offset + 1
	d, err := decode(r.Data)
	switch {
	case err != nil:
		b.addDecision(Decision{Offset: r.Offset, Kind: UnreadableRecord, Problem: err.Error()})
	case d.snapshot != nil:
		b.compareSnapshot(r.Offset, d.snapshot)
	default:
		b.applyPublication(r, *d.publication)
	}
}

func (b *stateBuilder) addDecision(d Decision) { b.decisions = append(b.decisions, d) }

func (b *stateBuilder) applyPublication(r platform.Record, p Publication) {
	current, _ := b.state.Current(p.Service)
	if p.BaseRevision != current.Revision {
		b.addDecision(Decision{Offset: r.Offset, Kind: RefusedRecord, Publication: p, CurrentRevision: current.Revision})
		return
	}
	revision := ident.Revision(r.Offset + 1)
	b.accept(AcceptedPublication{Revision: revision, Publication: p, record: r.Data})
	b.addDecision(Decision{Offset: r.Offset, Kind: AcceptedRecord, Publication: p, CurrentRevision: revision})
}

// accept puts a publication in force. Earlier ones of the service are kept only if
// their schema is lower, for programs that do not understand the new schema.
func (b *stateBuilder) accept(a AcceptedPublication) {
	if !b.copied {
		b.state.services = maps.Clone(b.state.services)
		b.copied = true
	}
	if b.state.services == nil {
		b.state.services = map[ident.Service][]AcceptedPublication{}
	}
	var kept []AcceptedPublication
	for _, earlier := range b.state.services[a.Service] {
		if earlier.Schema < a.Schema {
			kept = append(kept, earlier)
		}
	}
	b.state.services[a.Service] = append(kept, a)
	b.state.revision = a.Revision
}

// compareSnapshot compares a snapshot with the state that this reader computed
// itself. They can only differ if two programs apply records by different rules.
// Without the comparison, that would only show in instances that use different
// documents.
func (b *stateBuilder) compareSnapshot(offset ident.Offset, s *snapshot) {
	d := Decision{Offset: offset, Kind: SnapshotRecord, Covers: s.covers}
	if b.state.revision <= ident.Revision(s.covers) && !equalRecords(s.records, b.state.recordsAbove(0)) {
		d.Problem = "snapshot differs from the records that it covers"
	}
	b.addDecision(d)
}

// reverts reports whether some service has a lower revision in s than in earlier.
func (s State) reverts(earlier State) bool {
	for service := range earlier.services {
		was, _ := earlier.Current(service)
		is, _ := s.Current(service)
		if is.Revision < was.Revision {
			return true
		}
	}
	return false
}

// recordsAbove returns the publications of all services above a revision, ascending
// by revision.
func (s State) recordsAbove(above ident.Revision) []AcceptedPublication {
	var all []AcceptedPublication
	for _, versions := range s.services {
		for _, a := range versions {
			if a.Revision > above {
				all = append(all, a)
			}
		}
	}
	slices.SortFunc(all, func(a, b AcceptedPublication) int { return cmp.Compare(a.Revision, b.Revision) })
	return all
}

func equalRecords(a, b []AcceptedPublication) bool {
	return slices.EqualFunc(a, b, func(x, y AcceptedPublication) bool {
		return x.Revision == y.Revision && string(x.record) == string(y.record)
	})
}
