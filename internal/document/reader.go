package document

import (
	"fmt"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Reader holds a process's State while the process reads the configuration stream. It
// does no I/O: its owner reads the log from NextOffset on and passes the results to
// ApplyBatch or HandleExpired.
//
// If the next records have expired from the log, the reader looks for a snapshot
// that covers all expired records and continues from the offset that the snapshot
// covers. The zero value starts at the first record. A Reader is not safe for
// concurrent use.
type Reader struct {
	state State
	// searching means that the records from state.nextOffset up to firstKept have
	// expired unread and that the reader looks for a snapshot.
	searching bool
	// firstKept is the offset of the first record that the log keeps, as of the
	// last call of Reader.HandleExpired.
	firstKept ident.Offset
	// searchOffset is the next offset at which to look for a snapshot.
	searchOffset ident.Offset
	// head is the log's head as of the last batch.
	head ident.Offset
	// shortBatches counts the last batches in a row whose head was below the
	// state's next offset.
	shortBatches int
}

// maxShortBatches is how many batches in a row may have a head below the state's
// next offset without a problem. One may: a peer's documents can move the state
// forward while the log is being read.
const maxShortBatches = 1

// State returns the state after all records read so far.
func (r *Reader) State() State { return r.state }

// NextOffset returns the offset to read from next.
func (r *Reader) NextOffset() ident.Offset {
	if r.searching {
		return r.searchOffset
	}
	return r.state.nextOffset
}

// Searching reports whether records expired unread, so that the reader looks for a
// snapshot.
func (r *Reader) Searching() bool { return r.searching }

// Head returns the log's head as of the last batch.
func (r *Reader) Head() ident.Offset { return r.head }

// AtHead reports whether all records up to Head have been read.
func (r *Reader) AtHead() bool { return !r.searching && r.state.nextOffset >= r.head }

// Problem returns why the reader cannot follow the log, or "".
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

// ApplyBatch applies a batch that was read from NextOffset on, possibly before the last
// call of Merge. It returns a decision for each applied record, and none while the
// reader looks for a snapshot.
func (r *Reader) ApplyBatch(batch platform.Batch) []Decision {
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

// startsAfterGap reports whether records between the state and a batch are missing.
// A search for a snapshot reads beyond the state. If a peer's documents end the
// search while such a read is in flight, its batch starts after a gap. Applying it
// would skip records, and this instance would never use some publication.
func (r *Reader) startsAfterGap(records []platform.Record) bool {
	return len(records) > 0 && records[0].Offset > r.state.nextOffset
}

// HandleExpired must be called when the log reports that it keeps no records below first.
func (r *Reader) HandleExpired(first ident.Offset) {
	if first <= r.state.nextOffset {
		return
	}
	r.searching = true
	r.firstKept = first
	r.searchOffset = max(r.searchOffset, first)
}

// findSnapshot looks for a snapshot from which reading can continue without a gap.
// It skips snapshots that claim to cover records after themselves, and those that
// would revert a service to an earlier revision.
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

// Merge adds the delta of a peer to the state; see State.Merge.
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
