package lease

import (
	"time"
)

// Wanted is a lease for which this process is a candidate.
type Wanted struct {
	Name Name
	// Rank is this process's rank among the candidates, from 0. The higher it
	// is, the longer the process waits before it claims the lease, so that usually
	// only one candidate does.
	Rank int
}

// leaseView is what this process knows about a lease apart from State, in times
// of its own monotonic clock.
type leaseView struct {
	// readAt is a time after the lease's newest record was read.
	readAt time.Time
	// appendStarted is a time before the append of this process's newest
	// accepted record; zero if this process does not hold the lease or has
	// begun to release it.
	appendStarted time.Time
	// revokedAt is when the lease, which this process holds, was found to be no
	// longer wanted; zero if it is wanted or not held.
	revokedAt time.Time
}

// timing holds the durations that decide when to append which record.
type timing struct {
	length, margin, renewEvery, rankDelay time.Duration
}

// deadline returns when the holder of a lease must stop acting, given when it
// started to append its newest record. It lies before the earliest time at which
// a candidate may claim, because the candidate reads the record after it was
// appended and waits for the whole length from there. The deadline is zero, and
// so in the past, if started is zero.
func (t timing) deadline(started time.Time) time.Time {
	if started.IsZero() {
		return time.Time{}
	}
	return started.Add(t.length - t.margin)
}

// nextRecord returns the next record that this process would append for a lease,
// and whether to append it now.
func (t timing) nextRecord(now time.Time, state *State, me Holder, want Wanted, v leaseView) (Record, bool) {
	entry, known := state.Find(want.Name)
	record := Record{Name: want.Name, Holder: me, Length: Milliseconds(t.length / time.Millisecond)}
	if known {
		record.Supersedes = LinkTo(entry.Offset)
	}
	if known && entry.Record.Holder == me && !entry.Released() {
		return t.renewOrReclaim(now, record, entry, v)
	}
	record.Kind = Claim
	return record, t.mayClaim(now, state, want, v)
}

// renewOrReclaim returns the next record for a lease that this process holds, and
// whether it is due. Until the deadline that is a renewal. After it, the process
// claims the lease again: orders that it sent before then carry a lower fence, and
// a renewal would be rejected if the last record is older than Horizon.
func (t timing) renewOrReclaim(now time.Time, record Record, entry Entry, v leaseView) (Record, bool) {
	if !now.Before(t.deadline(v.appendStarted)) {
		record.Kind = Claim
		return record, true
	}
	record.Kind = Renewal
	record.Fence = entry.Fence
	return record, now.Sub(v.appendStarted) >= t.renewEvery
}

// mayClaim reports whether a candidate may now claim a lease that it does not
// hold. If a holder may still act under the lease, longer than the length of its
// newest record must have passed since the candidate read that record. If records
// that were not read may count, Horizon must have passed.
func (t timing) mayClaim(now time.Time, state *State, want Wanted, v leaseView) bool {
	waited := now.Sub(v.readAt)
	delay := time.Duration(want.Rank) * t.rankDelay
	if !state.Decided(want.Name) {
		return waited > Horizon+delay
	}
	entry, known := state.Find(want.Name)
	if !known || entry.Released() {
		return waited >= delay
	}
	return waited > entry.Record.Length.Duration()+delay
}

// mayRelease reports whether a lease that is held but no longer wanted may now be
// released. Orders sent before it was revoked must have arrived, because another
// candidate may claim a released lease at once.
func (t timing) mayRelease(now time.Time, v leaseView) bool {
	return !v.revokedAt.IsZero() && now.Sub(v.revokedAt) >= t.margin
}
