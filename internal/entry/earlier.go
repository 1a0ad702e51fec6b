package entry

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const (
	// maxEarlierRecords bounds how much of the store's history is read. In a fleet with more upstreams,
	// gateways learn by themselves which versions were listed.
	maxEarlierRecords = 4000
	// earlierMargin is the part of the time between renewals that is relied on: they come approximately
	// every so often.
	earlierMargin = 0.8
	// extraRenewals are read beyond those that should do, as records other than renewals lie between them.
	extraRenewals = 4
)

var (
	// errHistoryTooLong: the records of the time that is asked for are more than maxEarlierRecords.
	errHistoryTooLong = errors.New("too many records")
	// errNothingListed: this process doesn't know the entries yet.
	errNothingListed = errors.New("no entries are known")
	// errHistoryEnds: the history ends before the entries that are known.
	errHistoryEnds = errors.New("the history ends too early")
)

// earlier returns which upstreams were listed before this process started, from the store's history.
func (u *upstreamsFollower) earlier(ctx context.Context, within time.Duration) (origin.Earlier, error) {
	u.mu.Lock()
	end := u.dir.Next()
	u.mu.Unlock()
	if end.IsZero() {
		return origin.Earlier{}, errNothingListed
	}
	count := u.board.upstreams.Value().Count() * (int(float64(within)/float64(u.renewal)/earlierMargin) + extraRenewals)
	if count > maxEarlierRecords {
		return origin.Earlier{}, errors.Wrapf(errHistoryTooLong, "%d", count)
	}
	from := end.Back(uint64(count)).Later(end.FirstOf())
	reader := newEarlierReader()
	for next := from; next.Before(end); {
		batch, err := u.ports.Store.Follow(ctx, u.ports.UpstreamsTopic, next, 0)
		if err != nil {
			return origin.Earlier{}, errors.Wrap(err, "read the history of upstreams' entries")
		}
		if len(batch.Records) == 0 {
			return origin.Earlier{}, errors.Wrapf(errHistoryEnds, "at %v of %v", next, end)
		}
		for i := range batch.Records {
			reader.add(&batch.Records[i], u.ports.DecodeUpstream)
		}
		next = batch.Records[len(batch.Records)-1].At.Next()
	}
	return reader.result(from.IsFirst(), u.renewal, within), nil
}

// earlierReader adds up the records of a history of upstreams' entries.
type earlierReader struct {
	// last holds each upstream's last record.
	last     map[string]earlierRecord
	renewals map[string]int
	// seen are the upstreams that wrote.
	seen   map[string]bool
	listed map[origin.Origin]bool
}

// earlierRecord is a record of an upstream's entry, with the entry.
type earlierRecord struct {
	value []byte
	entry directory.Upstream
}

func newEarlierReader() *earlierReader {
	return &earlierReader{last: make(map[string]earlierRecord), renewals: make(map[string]int), seen: make(map[string]bool), listed: make(map[origin.Origin]bool)}
}

func (r *earlierReader) add(record *platform.KeyedRecord, decode func(record, name string, data []byte) (directory.Upstream, finding.List)) {
	if record.Unreadable != nil || record.Value == nil {
		delete(r.last, record.Key) // what follows is no renewal
		return
	}
	before, seen := r.last[record.Key]
	if seen && bytes.Equal(before.value, record.Value) {
		return // a write that was made again; a renewal differs
	}
	entry, findings := decode("", record.Key, record.Value)
	if findings.Err() != nil {
		return // the follower logs entries that it cannot use
	}
	r.seen[record.Key] = true
	r.listed[origin.Origin{Service: entry.Service, SoftwareVersion: entry.SoftwareVersion}] = true
	if seen && before.entry.IsRenewedBy(entry) {
		r.renewals[record.Key]++
	}
	r.last[record.Key] = earlierRecord{value: record.Value, entry: entry}
}

// result returns what was listed. The history reaches back as long as half of the upstreams took for their renewals at
// least: one alone may have written several times within one renewal, as a write without an answer is made again. whole:
// it is all that there ever was.
func (r *earlierReader) result(whole bool, renewal, within time.Duration) origin.Earlier {
	var counts []int
	for name := range r.seen {
		counts = append(counts, r.renewals[name])
	}
	slices.Sort(counts)
	least := 0
	if len(counts) > 0 {
		least = counts[(len(counts)-1)/2]
	}
	out := origin.Earlier{For: time.Duration(earlierMargin * float64(least) * float64(renewal))}
	if whole {
		out.For = max(out.For, within)
	}
	for o := range r.listed {
		out.Listed = append(out.Listed, o)
	}
	return out
}
