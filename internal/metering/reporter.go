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

// UsageRecord is what holders decided for good: the reports of the newest windows.
// A window's counts never change once they stand here, so that two holders never
// report different ones.
type UsageRecord struct {
	Windows map[int64]Counts `json:"windows"`
	// Pending is what was counted of later windows, for a successor. Without it,
	// a window is lost whose counts were heard only by gateways that were all
	// killed or restarted before it was decided. It stands in the record compressed;
	// older builds write it as it is.
	Pending Pending `json:"pending,omitempty"`
	// CompressedPending is Pending by life and window as JSON, compressed by gzip: it has a
	// name for each gateway and account, and grows with both.
	CompressedPending []byte `json:"pending_gzip,omitempty"`
}

const (
	// minSettleTime is how long after a window's end its counts are decided at the
	// least: a slowed gateway's reports take a second.
	minSettleTime = 2500 * time.Millisecond
	// gatherAfter is how long after a window's end the gateways that were not heard
	// since are asked: most are heard by themselves until then.
	gatherAfter = time.Second
	// maxReportTransit is how old a report may be when it comes.
	maxReportTransit = 300 * time.Millisecond
	// reportReserve is the time left for deciding and reporting before the report is
	// due, also by a successor.
	reportReserve = 3500 * time.Millisecond
	// maxDecidedWindows is how many decided windows stay on record: the report of one
	// is due 10 s after its end, and the users' windows take 5 s.
	maxDecidedWindows = 6
	// repeatedWindows is for how many of the newest windows a new holder repeats
	// the report, because it does not know whether it was sent.
	repeatedWindows = 3
	// recordInterval is how often the pending counts are recorded: just before the
	// lease would be renewed anyway (1.65 s with the users' lease of 3 s), so that
	// there are hardly more writes.
	recordInterval = 1500 * time.Millisecond
	// maxRecordBytes bounds the record with the pending counts, bytes: the platform takes
	// 256 KiB a record.
	maxRecordBytes = 128 << 10
	// maxUnpackedBytes bounds what a record's pending counts are when they are read.
	maxUnpackedBytes = 16 << 20
	// maxBacklogWindows is how many windows a new holder reports that nobody decided.
	maxBacklogWindows = 4
)

// Leases is what a reporter needs of the lease.
type Leases interface {
	Grant() (duty.Grant, bool)
	Refused(ident.Fence)
	Decided() json.RawMessage
	Commit(context.Context, json.RawMessage) error
}

// Reporter reports usage while this gateway holds the lease.
type Reporter struct {
	Length time.Duration
	// DueAfter is how long after a window's end its report is due.
	DueAfter time.Duration
	// Gather reports whether all gateways were heard within a time, and asks those
	// that were not.
	Gather   func(ctx context.Context, within time.Duration) bool
	TrueTime func() time.Time
	// Now counts suspensions.
	Now    boottime.Clock
	Ledger *Ledger
	Leases Leases
	Duties platform.Duties
	Log    hclog.Logger

	// sent are the windows reported under a fence.
	sent  map[int64]bool
	fence ident.Fence
	// recordedAt is when the pending counts were last written.
	recordedAt time.Time
}

// Step decides and reports what is due.
func (r *Reporter) Step(ctx context.Context) {
	grant, holds := r.Leases.Grant()
	if !holds {
		return
	}
	decision, err := decodeRecord(r.Leases.Decided())
	if err != nil {
		r.Log.Error("decided usage not readable, it is decided anew", "error", err)
	}
	if grant.Fence != r.fence || r.sent == nil {
		r.fence, r.sent = grant.Fence, make(map[int64]bool)
		r.mergeInherited(&decision)
	}
	next, changed := r.decide(ctx, decision)
	if changed || r.Now().Sub(r.recordedAt) >= recordInterval {
		r.recordedAt = r.Now()
		data, err := r.encode(next)
		if err != nil {
			r.Log.Error("usage not encoded", "error", err)
			return
		}
		err = r.Leases.Commit(ctx, data)
		if err != nil {
			r.Log.Info("usage not recorded", "decided", changed, "error", err)
		}
		if err != nil && changed {
			return
		}
		decision = next
	}
	r.send(ctx, decision)
}

// mergeInherited joins what the holder before had counted of windows that are not decided.
func (r *Reporter) mergeInherited(d *UsageRecord) {
	r.Ledger.MergePending(d.Pending)
	lives, err := decodePending(d.CompressedPending)
	if err != nil {
		r.Log.Error("pending usage not readable, the gateways' own counts stand", "error", err)
	}
	for life, windows := range lives {
		r.Ledger.Hear(life, windows)
	}
}

// encode encodes a decision with the counts of the later windows, as far as they have room.
// The newest are left out first: the gateways that count them are the likeliest to live.
func (r *Reporter) encode(d UsageRecord) (json.RawMessage, error) {
	last := Window(r.TrueTime(), r.Length) - maxBacklogWindows
	for window := range d.Windows {
		last = max(last, window)
	}
	pending := r.Ledger.PendingAfter(last)
	for {
		data, err := encodeRecord(d, pending)
		if err != nil || len(data) <= maxRecordBytes || len(pending) == 0 {
			return data, err
		}
		newest := slices.Max(slices.Collect(maps.Keys(pending)))
		r.Log.Warn("pending usage of a window not recorded, there is too much", "window", newest, "gateways", len(pending[newest]), "bytes", len(data), "most", maxRecordBytes)
		delete(pending, newest)
	}
}

// encodeRecord encodes a decision with pending counts.
func encodeRecord(d UsageRecord, pending Pending) (json.RawMessage, error) {
	d.Pending, d.CompressedPending = nil, nil
	if len(pending) > 0 {
		data, err := json.Marshal(pending.byIncarnation())
		if err != nil {
			return nil, pkgerrors.Wrap(err, "encode pending usage")
		}
		d.CompressedPending, err = gzipped.Pack(data, gzip.DefaultCompression)
		if err != nil {
			return nil, pkgerrors.Wrap(err, "pending usage")
		}
	}
	data, err := json.Marshal(d)
	return data, pkgerrors.Wrap(err, "encode decided usage")
}

// decodeRecord reads what packDecision wrote, but for the pending counts: only a new holder
// needs them.
func decodeRecord(data json.RawMessage) (UsageRecord, error) {
	d := UsageRecord{Windows: make(map[int64]Counts)}
	if len(data) == 0 {
		return d, nil
	}
	err := json.Unmarshal(data, &d)
	if d.Windows == nil {
		d.Windows = make(map[int64]Counts)
	}
	return d, err
}

// decodePending reads the pending counts of a record; it may have none.
func decodePending(packed []byte) (pendingByIncarnation, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	data, err := gzipped.Unpack(packed, maxUnpackedBytes)
	if err != nil {
		return nil, pkgerrors.Wrap(err, "pending usage")
	}
	var lives pendingByIncarnation
	err = json.Unmarshal(data, &lives)
	return lives, pkgerrors.Wrap(err, "decode pending usage")
}

// decide adds the windows whose counts have settled.
func (r *Reporter) decide(ctx context.Context, d UsageRecord) (UsageRecord, bool) {
	now := r.TrueTime()
	last := Window(now, r.Length) - 1
	for !r.settled(ctx, last, now) {
		last--
	}
	next := UsageRecord{Windows: maps.Clone(d.Windows)}
	changed := false
	for window := last - maxBacklogWindows; window <= last; window++ {
		if _, decided := next.Windows[window]; decided || !r.follows(d, window) {
			continue
		}
		next.Windows[window] = r.Ledger.Sum(window)
		changed = true
	}
	keepNewest(next.Windows, maxDecidedWindows)
	return next, changed
}

// settled reports whether a window's counts are in: all gateways were heard since its
// end, or its report is due. What goes wrong without asking: among ninety gateways
// some are not met for six seconds, and reports were off by a tenth.
func (r *Reporter) settled(ctx context.Context, window int64, now time.Time) bool {
	end := time.Unix(0, (window+1)*int64(r.Length))
	ago := now.Sub(end)
	if ago >= r.DueAfter-reportReserve {
		return true
	}
	return ago >= gatherAfter && r.Gather(ctx, ago-maxReportTransit) && ago >= minSettleTime
}

// follows reports whether a window is later than all that were decided. Earlier
// ones may have been reported and forgotten. Before the first counts there is
// nothing to report.
func (r *Reporter) follows(d UsageRecord, window int64) bool {
	if len(d.Windows) == 0 {
		return len(r.Ledger.Sum(window)) > 0
	}
	return window > slices.Max(slices.Collect(maps.Keys(d.Windows)))
}

// send reports the newest windows that were not reported under this fence. An
// exact repeat of an earlier holder's report changes nothing.
func (r *Reporter) send(ctx context.Context, d UsageRecord) {
	windows := slices.Sorted(maps.Keys(d.Windows))
	for _, window := range windows[max(0, len(windows)-repeatedWindows):] {
		if r.sent[window] {
			continue
		}
		grant, holds := r.Leases.Grant()
		if !holds || grant.Fence != r.fence {
			return
		}
		err := r.Duties.Report(ctx, grant.Authority, platform.UsageReport{Window: window, Counts: d.Windows[window]})
		switch {
		case err == nil:
			r.sent[window] = true
			r.Log.Info("usage reported", "window", window, "accounts", len(d.Windows[window]), "requests", d.Windows[window].total(), "fence", grant.Fence)
		case errors.Is(err, platform.ErrOldFence):
			r.Leases.Refused(grant.Fence)
			return
		default:
			r.Log.Info("usage not reported, it is tried again", "window", window, "error", err)
			return
		}
	}
}
