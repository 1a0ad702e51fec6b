package platform

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// ErrConflict means that the position of a conditional write is not the end of the topic.
// Nothing was written.
var ErrConflict = errors.New("the topic has grown meanwhile")

// ErrEraChanged means that the store's log is not the one that the call's position is in. A write whose
// condition held by chance may have been carried out, in a log that it was not meant for.
var ErrEraChanged = errors.New("the store's log is of another era")

// KeyedRecord is a record of a keyed topic.
type KeyedRecord struct {
	At  ident.Position
	Key string
	// Value is nil if the key was dropped.
	Value []byte
	// Unreadable is why Key or Value could not be read; nil if both could be. A topic
	// may have other writers, and one bad record of theirs must not prevent the reading
	// of the others.
	Unreadable error
}

// KeyedBatch is the answer to a read of a keyed topic.
type KeyedBatch struct {
	Records []KeyedRecord
	// End is the position that the next record will get.
	End ident.Position
	// First is the oldest position still kept in the history.
	First ident.Position
}

// KeyedLog stores topics. A topic keeps the newest record of each key permanently, and
// all records for some seconds as its history.
type KeyedLog interface {
	// Put appends one record. With a condition it is written only if the topic
	// ends at that position. Errors: ErrConflict, ErrUnavailable, ErrAnswerLost, ErrEraChanged.
	Put(ctx context.Context, topic, key string, value []byte, condition *ident.Position) (ident.Position, error)
	// Follow returns the records from a position on. It waits up to wait for a first
	// one, or until a later era becomes known. Errors: ErrUnavailable; ErrEraChanged; ErrExpired,
	// with KeyedBatch.First set.
	Follow(ctx context.Context, topic string, from ident.Position, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key. Its pages are not a snapshot: End
	// is the end at the first page, so following from there misses nothing. All pages are of
	// one era: if it changes meanwhile, the listing begins again. Unless each
	// is nil, it is called with every page, and that End, as soon as the page arrives: in
	// a long listing the first page arrives seconds before the last.
	Newest(ctx context.Context, topic string, each func(page KeyedBatch)) (KeyedBatch, error)
}

// DutyTimeout bounds each call of Duties. The cloud answers within some milliseconds,
// and within 200 ms when it is slow. A lease's margin must be longer than this timeout.
const DutyTimeout = 700 * time.Millisecond

// ScaleOrder asks for a number of upstreams of one kind in one failure domain.
type ScaleOrder struct {
	Service       ident.Service
	FailureDomain ident.FailureDomain
	Reclaimable   bool
	Wanted        int
}

// UsageReport counts the requests that began to run in a window of true time.
type UsageReport struct {
	// Window is the number of the window, which starts Window times its length after
	// the Unix epoch.
	Window int64
	Counts map[ident.ClientAccount]int64
}

// Authority is the right to make calls of Duties. The platform may not check fencing
// numbers, so the caller has to ensure that none of its calls arrives after a call of a
// later holder.
type Authority struct {
	Fence ident.Fence
	// Begin is called right before the first byte of the call is sent, after the
	// connection was made, because the process may have been paused since the right was
	// granted. If it returns no error, ended must be called once no part of the call
	// can arrive any more.
	Begin func() (ended func(), err error)
}

// Duties are calls that one gateway at a time makes, under a fencing number.
type Duties interface {
	// Scale errors: ErrOldFence, ErrNoCapacity, ErrUnavailable, ErrAnswerLost.
	Scale(ctx context.Context, authority Authority, order ScaleOrder) error
	// Report errors: ErrOldFence, ErrUnavailable, ErrAnswerLost.
	Report(ctx context.Context, authority Authority, report UsageReport) error
}
