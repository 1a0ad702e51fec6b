package metering

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/gzipped"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// UsageRecord is stored with the lease. It holds the final counts of the newest decided windows. A
// window's counts never change once they are in it, so that two holders of the lease never report
// different ones.
type UsageRecord struct {
	Windows map[int64]Counts `json:"windows"`
	// Pending holds the counts of later windows as older builds write them: uncompressed. This
	// build only reads it. Without the pending counts, a window is lost if its counts were
	// received only by gateways that were all killed or restarted before it was decided.
	Pending Pending `json:"pending,omitempty"`
	// CompressedPending holds the pending counts as gzipped JSON, by incarnation and window. They
	// are compressed because they have an entry for each gateway and account, and grow with both.
	CompressedPending []byte `json:"pending_gzip,omitempty"`
}

const (
	// minSettleTime is the shortest time between a window's end and its decision: the reports of a
	// slow gateway take a second.
	minSettleTime = 2500 * time.Millisecond
	// gatherAfter is the time after a window's end at which the counts that haven't arrived since
	// are requested. Most have arrived by then without a request.
	gatherAfter = time.Second
	// maxReportTransit is the age that a report may have when it arrives.
	maxReportTransit = 300 * time.Millisecond
	// reportReserve is the time kept free before a report is due, for deciding and sending it, also
	// by a successor.
	reportReserve = 3500 * time.Millisecond
	// maxDecidedWindows is how many decided windows the record keeps: a window's report is due 10 s
	// after its end, and the users' windows are 5 s long.
	maxDecidedWindows = 6
	// repeatedWindows is how many of the newest windows a new holder of the lease reports again,
	// because it doesn't know whether they were reported.
	repeatedWindows = 3
	// storeInterval is the interval at which the pending counts are stored. It is just below the
	// interval at which the lease is renewed anyway (1.65 s with the users' lease of 3 s), so that
	// there are hardly any additional writes.
	storeInterval = 1500 * time.Millisecond
	// maxRecordBytes bounds the record with the pending counts: the platform accepts 256 KiB per
	// record.
	maxRecordBytes = 128 << 10
	// maxDecompressedBytes bounds the size of a record's pending counts after decompression.
	maxDecompressedBytes = 16 << 20
	// maxBacklogWindows is how many undecided past windows a new holder decides and reports.
	maxBacklogWindows = 4
)

// Leases is the part of the lease that a Reporter needs.
type Leases interface {
	Grant() (duty.Grant, bool)
	FenceRejected(ident.Fence)
	Decided() json.RawMessage
	Commit(context.Context, json.RawMessage) error
}

// Reporter reports usage while this gateway holds the lease. Its fields are set before the first
// Step, and Step must not be called concurrently.
type Reporter struct {
	WindowLength time.Duration
	// DueAfter is the time after a window's end at which its report is due.
	DueAfter time.Duration
	// Gather reports whether the counts of all gateways arrived within the given time before now,
	// and requests those that did not.
	Gather   func(ctx context.Context, within time.Duration) bool
	TrueTime func() time.Time
	// Now is a monotonic clock that keeps counting while the machine is suspended.
	Now    boottime.Clock
	Ledger *Ledger
	Leases Leases
	Duties platform.Duties
	Log    hclog.Logger

	// sent holds the windows that were reported under the fencing number in fence.
	sent  map[int64]bool
	fence ident.Fence
	// sureFrom is the first window whose decision cannot have been lost; 0 if none can.
	sureFrom int64
	// storedAt is when the pending counts were last stored.
	storedAt time.Time
}

// Step decides the windows whose counts are complete, stores the pending counts and reports the
// decided windows. It does nothing unless this gateway holds the lease.
func (r *Reporter) Step(ctx context.Context) {
	grant, holds := r.Leases.Grant()
	if !holds {
		return
	}
	record, err := decodeRecord(r.Leases.Decided())
	if err != nil {
		r.Log.Error("cannot decode the stored usage record, its windows are decided again", "error", err)
	}
	if grant.Fence != r.fence || r.sent == nil {
		r.fence, r.sent = grant.Fence, make(map[int64]bool)
		r.restorePending(&record)
		r.leaveOut(grant.UnsureBefore, &record)
	}
	next, changed := r.decide(ctx, record)
	if changed || r.Now().Sub(r.storedAt) >= storeInterval {
		r.storedAt = r.Now()
		data, err := r.encode(next)
		if err != nil {
			r.Log.Error("cannot encode the usage record", "error", err)
			return
		}
		err = r.Leases.Commit(ctx, data)
		if err != nil {
			r.Log.Info("cannot commit the usage record", "decided", changed, "error", err)
		}
		if err != nil && changed {
			return
		}
		record = next
	}
	r.send(ctx, record)
}

// leaveOut sets from which window on this holder decides. An earlier one may have been reported by a holder
// whose decision the store has lost; reporting it again, perhaps with other counts, would be worse than not
// at all.
func (r *Reporter) leaveOut(unsureBefore time.Time, record *UsageRecord) {
	r.sureFrom = 0
	if unsureBefore.IsZero() {
		return
	}
	r.sureFrom = Window(unsureBefore, r.WindowLength)
	var left []int64
	for window := max(r.sureFrom, Window(r.TrueTime(), r.WindowLength)) - maxBacklogWindows; window < r.sureFrom; window++ {
		if _, decided := record.Windows[window]; !decided && len(r.Ledger.Sum(window)) > 0 {
			left = append(left, window)
		}
	}
	r.Log.Info("usage of earlier windows is not decided, an earlier decision may be lost", "sure_from", r.sureFrom, "left_out", left, "unsure_before", unsureBefore, "fence", r.fence)
}

// restorePending merges the pending counts that the previous holder of the lease stored.
func (r *Reporter) restorePending(record *UsageRecord) {
	r.Ledger.MergePending(record.Pending)
	counts, err := decodePending(record.CompressedPending)
	if err != nil {
		r.Log.Error("cannot decode the stored pending usage, only counts from gateways are used", "error", err)
	}
	for incarnation, windows := range counts {
		r.Ledger.MergeCounts(incarnation, windows)
	}
}

// encode encodes a record with the counts of the windows after its last one, as far as they fit
// into maxRecordBytes. The newest windows are left out first, because the gateways that counted
// them are the most likely to be still alive.
func (r *Reporter) encode(record UsageRecord) (json.RawMessage, error) {
	last := Window(r.TrueTime(), r.WindowLength) - maxBacklogWindows
	for window := range record.Windows {
		last = max(last, window)
	}
	pending := r.Ledger.PendingAfter(last)
	for {
		data, err := encodeRecord(record, pending)
		if err != nil || len(data) <= maxRecordBytes || len(pending) == 0 {
			return data, err
		}
		newest := slices.Max(slices.Collect(maps.Keys(pending)))
		r.Log.Warn("pending usage of a window left out of the record: too large", "window", newest, "gateways", len(pending[newest]), "bytes", len(data), "most", maxRecordBytes)
		delete(pending, newest)
	}
}

// encodeRecord encodes a record with the given pending counts.
func encodeRecord(record UsageRecord, pending Pending) (json.RawMessage, error) {
	record.Pending, record.CompressedPending = nil, nil
	if len(pending) > 0 {
		data, err := json.Marshal(pending.byIncarnation())
		if err != nil {
			return nil, pkgerrors.Wrap(err, "encode pending usage")
		}
		record.CompressedPending, err = gzipped.Compress(data, gzip.DefaultCompression)
		if err != nil {
			return nil, pkgerrors.Wrap(err, "compress pending usage")
		}
	}
	data, err := json.Marshal(record)
	return data, pkgerrors.Wrap(err, "encode usage record")
}

// decodeRecord decodes a record that encodeRecord encoded, but leaves the pending counts
// compressed: only a new holder of the lease needs them.
func decodeRecord(data json.RawMessage) (UsageRecord, error) {
	record := UsageRecord{Windows: make(map[int64]Counts)}
	if len(data) == 0 {
		return record, nil
	}
	err := json.Unmarshal(data, &record)
	if record.Windows == nil {
		record.Windows = make(map[int64]Counts)
	}
	return record, err
}

// decodePending decodes a record's compressed pending counts. It returns nil if there are none.
func decodePending(compressed []byte) (pendingByIncarnation, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	data, err := gzipped.Decompress(compressed, maxDecompressedBytes)
	if err != nil {
		return nil, pkgerrors.Wrap(err, "decompress pending usage")
	}
	var counts pendingByIncarnation
	err = json.Unmarshal(data, &counts)
	return counts, pkgerrors.Wrap(err, "decode pending usage")
}

// decide adds the windows whose counts have settled to the record, and reports whether there were
// any.
func (r *Reporter) decide(ctx context.Context, record UsageRecord) (UsageRecord, bool) {
	now := r.TrueTime()
	last := Window(now, r.WindowLength) - 1
	for !r.settled(ctx, last, now) {
		last--
	}
	next := UsageRecord{Windows: maps.Clone(record.Windows)}
	changed := false
	for window := last - maxBacklogWindows; window <= last; window++ {
		if _, decided := next.Windows[window]; decided || !r.follows(record, window) {
			continue
		}
		next.Windows[window] = r.Ledger.Sum(window)
		changed = true
	}
	keepNewest(next.Windows, maxDecidedWindows)
	return next, changed
}

// settled reports whether a window's counts are complete: the counts of all gateways arrived after
// its end, or its report is nearly due. Counts that haven't arrived are requested. Without the
// requests, the counts of some of ninety gateways don't arrive for six seconds, and reports were
// wrong by a tenth.
func (r *Reporter) settled(ctx context.Context, window int64, now time.Time) bool {
	end := time.Unix(0, (window+1)*int64(r.WindowLength))
	ago := now.Sub(end)
	if ago >= r.DueAfter-reportReserve {
		return true
	}
	return ago >= gatherAfter && r.Gather(ctx, ago-maxReportTransit) && ago >= minSettleTime
}

// follows reports whether a window is later than all decided ones, and than those whose decision may be lost.
// An earlier one may have been reported and dropped from the record. If no window is decided yet, windows without counts are
// skipped.
func (r *Reporter) follows(record UsageRecord, window int64) bool {
	if window < r.sureFrom {
		return false
	}
	if len(record.Windows) == 0 {
		return len(r.Ledger.Sum(window)) > 0
	}
	return window > slices.Max(slices.Collect(maps.Keys(record.Windows)))
}

// send reports those of the newest windows that were not reported under this fencing number.
// Repeating an earlier holder's report exactly changes nothing.
func (r *Reporter) send(ctx context.Context, record UsageRecord) {
	windows := slices.Sorted(maps.Keys(record.Windows))
	for _, window := range windows[max(0, len(windows)-repeatedWindows):] {
		if r.sent[window] {
			continue
		}
		grant, holds := r.Leases.Grant()
		if !holds || grant.Fence != r.fence {
			return
		}
		err := r.Duties.Report(ctx, grant.Authority, platform.UsageReport{Window: window, Counts: record.Windows[window]})
		switch {
		case err == nil:
			r.sent[window] = true
			r.Log.Info("usage reported", "window", window, "accounts", len(record.Windows[window]), "requests", record.Windows[window].total(), "fence", grant.Fence)
		case errors.Is(err, platform.ErrOldFence):
			r.Leases.FenceRejected(grant.Fence)
			return
		default:
			r.Log.Info("cannot report usage, trying again", "window", window, "error", err)
			return
		}
	}
}
