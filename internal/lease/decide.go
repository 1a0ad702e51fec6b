package lease

import (
	"time"
)

// Wanted is a lease for which this process is a candidate.
type Wanted struct {
	Name Name
	// Rank among the candidates, from 0. A higher one waits longer before
	// it claims, so that one claim is usually enough.
	Rank int
}

// leaseView is what this process knows of a lease besides the fold.
type leaseView struct {
	// readAt is when this process had read the lease's newest record: a
	// monotonic reading taken after the read.
	readAt time.Time
	// appendStarted is the monotonic reading before the append of this process's
	// newest accepted record; zero when it holds nothing, or has begun to
	// release it.
	appendStarted time.Time
	// revokedAt is when the lease was seen to be held but no longer wanted.
	revokedAt time.Time
}

// timing is the part of Config that decisions need.
type timing struct {
	length, margin, renewEvery, rankDelay time.Duration
}

// deadline is when the holder of a record must stop to act. It lies before
// the instant at which any candidate may claim: that one reads the record
// after it was appended, and counts the whole length from there.
func (t timing) deadline(started time.Time) time.Time {
	if started.IsZero() {
		return time.Time{}
	}
	return started.Add(t.length - t.margin)
}

// nextRecord returns the record that this process should append for a lease now, or
// false.
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

// renewOrReclaim renews a lease that this process holds. After its deadline it claims
// anew instead: the higher fence orders whatever it sent before, and the fold
// refuses a renewal of a record that no longer counts.
func (t timing) renewOrReclaim(now time.Time, record Record, entry Entry, v leaseView) (Record, bool) {
	if !now.Before(t.deadline(v.appendStarted)) {
		record.Kind = Claim
		return record, true
	}
	record.Kind = Renewal
	record.Fence = entry.Fence
	return record, now.Sub(v.appendStarted) >= t.renewEvery
}

// mayClaim reports whether a candidate may claim a lease that it does not
// hold. Where a holder may still act, the candidate must have watched the
// holder's newest record for longer than that record's length.
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

// mayRelease reports whether a lease that is held but not wanted may be given
// up: the orders that left before it was revoked must have landed, because a
// successor claims a released lease at once.
func (t timing) mayRelease(now time.Time, v leaseView) bool {
	return !v.revokedAt.IsZero() && now.Sub(v.revokedAt) >= t.margin
}
