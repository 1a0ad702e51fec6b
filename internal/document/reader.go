package document

import (
	"fmt"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Reader is a process's position in the configuration stream. It does no I/O:
// its owner reads the log from From and hands over what came.
//
// A reader whose next records expired looks for a snapshot that covers all
// that is gone, and goes on from the offset that it covers. The zero value
// starts at the first record.
type Reader struct {
	state State
	// searching: records from state.next to first are gone.
	searching bool
	first     ident.Offset
	// search is the next record to look at for a snapshot.
	search ident.Offset
	// head is the log's head at the last batch.
	head ident.Offset
	// short counts batches in a row whose head was below the state. The first
	// may be older than the state, if a peer's documents came meanwhile.
	short int
}

// maxShort is how many batches in a row may be older than the state.
const maxShort = 1

// State returns what was read so far.
func (r *Reader) State() State { return r.state }

// From returns the offset to read from next.
func (r *Reader) From() ident.Offset {
	if r.searching {
		return r.search
	}
	return r.state.next
}

// Searching reports whether the reader lacks expired records.
func (r *Reader) Searching() bool { return r.searching }

// Head returns the log's head at the last batch.
func (r *Reader) Head() ident.Offset { return r.head }

// AtHead reports whether all records of the last batch's log are read.
func (r *Reader) AtHead() bool { return !r.searching && r.state.next >= r.head }

// Problem says why the reader cannot follow the log, or is empty.
func (r *Reader) Problem() string {
	if r.searching {
		return fmt.Sprintf("records %d to %d expired before they were read and no snapshot covers them yet",
			r.state.next, r.first)
	}
	if r.short > maxShort {
		return fmt.Sprintf("the log ends at %d, but %d was read already; not reverting",
			r.head, r.state.next)
	}
	return ""
}

// Take folds a batch that was read from From, possibly before the last Merge.
func (r *Reader) Take(batch platform.Batch) []Decision {
	r.head = batch.Head
	if r.searching {
		r.find(batch.Records)
		return nil
	}
	if r.gap(batch.Records) {
		return nil
	}
	var decisions []Decision
	r.state, decisions = Fold(r.state, batch.Records)
	if r.head < r.state.next {
		r.short++
	} else {
		r.short = 0
	}
	return decisions
}

// gap reports whether records are missing before a batch. A search for a
// snapshot reads ahead; when a peer's documents end the search meanwhile, the
// answer of that read starts beyond the state. Folding it would leave records
// out, which would show as an instance that never serves some change.
func (r *Reader) gap(records []platform.Record) bool {
	return len(records) > 0 && records[0].Offset > r.state.next
}

// Expired tells the reader that the log keeps nothing below first.
func (r *Reader) Expired(first ident.Offset) {
	if first <= r.state.next {
		return
	}
	r.searching = true
	r.first = first
	r.search = max(r.search, first)
}

// find looks for a snapshot from which reading can go on without a gap.
func (r *Reader) find(records []platform.Record) {
	for _, record := range records {
		r.search = max(r.search, record.Offset+1)
		d, err := decode(record.Data)
		if err != nil || d.snapshot == nil || d.snapshot.covers < r.first {
			continue
		}
		if d.snapshot.covers > record.Offset {
			continue
		}
		if next := d.snapshot.state(); !next.reverts(r.state) {
			r.state = next
			r.searching = false
			return
		}
	}
}

// Merge takes over what a peer knew; see State.Merge.
func (r *Reader) Merge(d Delta) error {
	state, err := r.state.Merge(d)
	if err != nil {
		return errcode.Wrap(errcode.Of(err), err, "documents of a peer")
	}
	r.state = state
	if r.state.next >= r.first {
		r.searching = false
	}
	return nil
}
