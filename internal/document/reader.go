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
	firstKept ident.Offset
	// searchOffset is the next record to look at for a snapshot.
	searchOffset ident.Offset
	// head is the log's head at the last batch.
	head ident.Offset
	// shortBatches counts batches in a row whose head was below the state. The first
	// may be older than the state, if a peer's documents came meanwhile.
	shortBatches int
}

// maxShortBatches is how many batches in a row may be older than the state.
const maxShortBatches = 1

// State returns what was read so far.
func (r *Reader) State() State { return r.state }

// From returns the offset to read from next.
func (r *Reader) From() ident.Offset {
	if r.searching {
		return r.searchOffset
	}
	return r.state.nextOffset
}

// Searching reports whether the reader lacks expired records.
func (r *Reader) Searching() bool { return r.searching }

// Head returns the log's head at the last batch.
func (r *Reader) Head() ident.Offset { return r.head }

// AtHead reports whether all records of the last batch's log are read.
func (r *Reader) AtHead() bool { return !r.searching && r.state.nextOffset >= r.head }

// Problem says why the reader cannot follow the log, or is empty.
func (r *Reader) Problem() string {
	if r.searching {
		return fmt.Sprintf("records %d to %d expired before they were read and no snapshot covers them yet",
			r.state.nextOffset, r.firstKept)
	}
	if r.shortBatches > maxShortBatches {
		return fmt.Sprintf("the log ends at %d, but %d was read already; not reverting",
			r.head, r.state.nextOffset)
	}
	return ""
}

// Take folds a batch that was read from From, possibly before the last Merge.
func (r *Reader) Take(batch platform.Batch) []Decision {
	r.head = batch.Head
	if r.searching {
		r.findSnapshot(batch.Records)
		return nil
	}
	if r.startsAfterGap(batch.Records) {
		return nil
	}
	var decisions []Decision
	r.state, decisions = Fold(r.state, batch.Records)
	if r.head < r.state.nextOffset {
		r.shortBatches++
	} else {
		r.shortBatches = 0
	}
	return decisions
}

// startsAfterGap reports whether records are missing before a batch. A search for a
// snapshot reads ahead; when a peer's documents end the search meanwhile, the
// answer of that read starts beyond the state. Folding it would leave records
// out, which would show as an instance that never serves some change.
func (r *Reader) startsAfterGap(records []platform.Record) bool {
	return len(records) > 0 && records[0].Offset > r.state.nextOffset
}

// Expired tells the reader that the log keeps nothing below first.
func (r *Reader) Expired(first ident.Offset) {
	if first <= r.state.nextOffset {
		return
	}
	r.searching = true
	r.firstKept = first
	r.searchOffset = max(r.searchOffset, first)
}

// findSnapshot looks for a snapshot from which reading can go on without a gap.
func (r *Reader) findSnapshot(records []platform.Record) {
	for _, record := range records {
		r.searchOffset = max(r.searchOffset, record.Offset+1)
		d, err := decode(record.Data)
		if err != nil || d.snapshot == nil || d.snapshot.covers < r.firstKept {
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
	if r.state.nextOffset >= r.firstKept {
		r.searching = false
	}
	return nil
}
