// Package duty elects the one gateway that performs the duties of which only one
// gateway may be in charge at a time, by a lease in the platform's store.
//
// The lease is a single record. It is replaced only on the condition that nothing
// was written since it was read, so that of two gateways that claim it only one
// succeeds. A claim's position gives its fencing number: later holders have higher
// ones. The record also carries the decisions that its holders committed, so that
// a successor repeats them exactly.
//
// A claim holds in the era of the store in which it was made. If the store comes back
// from an older copy, records of earlier eras make no one the holder, because what
// followed them may be lost: the last holder claims again at once, others wait until
// its lease must have run out.
package duty

import (
	"encoding/json"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Record is the lease as it is stored.
type Record struct {
	Holder      ident.Instance    `json:"holder"`
	Incarnation ident.Incarnation `json:"life"`
	// ClaimID identifies the claim that this record makes, renews or releases.
	ClaimID string `json:"claim"`
	// Era is the era of the store for which the record was written; 0 if the store named
	// none, or an earlier build wrote it.
	Era ident.Era `json:"era,omitempty"`
	// UnsureBefore is a true time in milliseconds since 1970: what holders decided before it may
	// be missing in Decided; 0 if nothing is.
	UnsureBefore int64 `json:"unsure_before_ms,omitempty"`
	// Fence is the fencing number; 0 in the claim itself, whose position gives it
	// (see fenceOf).
	Fence ident.Fence `json:"fence,omitempty"`
	// Released is set when the holder has given the lease up and makes no more
	// calls under it.
	Released bool `json:"released,omitempty"`
	// PreviousHolder held the lease before Holder.
	PreviousHolder ident.Instance `json:"before,omitempty"`
	// Decided holds the decisions that holders of the lease have committed.
	Decided json.RawMessage `json:"decided,omitempty"`
	// GatewayCount is how many gateways the holder knew, for gateways that have
	// just started and know none.
	GatewayCount int `json:"gateways,omitempty"`
	StoredState
}

// StoredState is the part of the record that gateways store for later holders of the lease,
// and restore when they start.
type StoredState struct {
	// PoisonRequests are the poison requests.
	PoisonRequests json.RawMessage `json:"kept,omitempty"`
	// Limits are the rate limits that upstreams announced.
	Limits json.RawMessage `json:"kept_limits,omitempty"`
}

// Timing holds the durations of a lease. All are measured by a clock that goes on
// while the machine is suspended.
type Timing struct {
	// Length is the time after which a lease may be claimed if its record has not
	// changed.
	Length time.Duration
	// Margin is how long before the end of Length the holder stops acting.
	Margin time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// RankDelay, times its rank, is how much longer a candidate waits before it
	// claims the lease.
	RankDelay time.Duration
}

// NewTiming returns the timing of a lease of the given length, where a call is in
// flight for at most the time flight. A holder still has the lease after one renewal is
// lost.
func NewTiming(length, flight time.Duration) Timing {
	const (
		// slack covers clock rounding and the process's own delays.
		slack = 300 * time.Millisecond
	)
	// The platform counts it as a fault if the duty returns to its last holder
	// within the length. The lease itself is therefore longer.
	length += flight + slack
	margin := flight + slack
	return Timing{Length: length, Margin: margin, RenewEvery: (length - margin) / 2, RankDelay: 500 * time.Millisecond}
}

// State is what a gateway knows of the lease. It does no I/O and is not safe for
// concurrent use.
type State struct {
	self        ident.Instance
	incarnation ident.Incarnation

	// upToDate is false while the store has to be read before anything is written.
	upToDate bool
	// record is the newest record read or written, and at its position, where
	// hasRecord is set. logEnd is the end of the log then, which a conditional
	// write names.
	record    Record
	hasRecord bool
	at        ident.Position
	logEnd    ident.Position
	// eraSeenAt is when this gateway first read the log in its present era, and eraSeenEnd its end then.
	eraSeenAt  time.Time
	eraSeenEnd ident.Position
	// last is this gateway's lease of the era before; zero if it held none when that ended.
	last lastLease
	// firstSeenAt is when this gateway first saw the record, or that there is none.
	firstSeenAt time.Time
	// claimID identifies this gateway's own claim; empty if it has none.
	claimID string
	// extendedAt is when the write of the claim or of its newest renewal began.
	extendedAt time.Time
	// fence is the claim's fencing number; 0 until the claim was seen in the store.
	fence ident.Fence
	// expired is set once the lease has expired: its claim is never used again.
	expired bool
	// dropped is set once the lease was given up early, see Drop.
	dropped bool
}

// lastLease is a lease that a gateway held when the store's era ended.
type lastLease struct {
	record Record
	// extendedAt is when the write of its newest renewal began.
	extendedAt time.Time
}

// runs reports whether the lease has not run out, so that no one else can have made a later claim.
func (l lastLease) runs(t Timing, now time.Time) bool {
	return !l.extendedAt.IsZero() && now.Before(l.extendedAt.Add(t.Length-t.Margin))
}

// NewState returns the state of a gateway that has not read the lease yet.
func NewState(self ident.Instance, incarnation ident.Incarnation) *State {
	return &State{self: self, incarnation: incarnation}
}

// ApplyRead applies a read of the store at the time now: the newest record and its
// position, or nil if there is none, and the log's end. A read that is older than the
// newest known end, or of an earlier era, is ignored.
func (s *State) ApplyRead(record *Record, at, end ident.Position, now time.Time) {
	if end.Era() < s.logEnd.Era() || s.upToDate && end.Before(s.logEnd) {
		return // stale read
	}
	if s.logEnd.IsZero() || !end.SameEra(s.logEnd) {
		s.endEra()
		s.eraSeenAt, s.eraSeenEnd = now, end
	}
	if record != nil && s.isStray(record, at) {
		s.upToDate, s.logEnd = true, end
		return
	}
	changed := !s.upToDate || s.hasRecord != (record != nil) || s.at != at
	s.upToDate, s.logEnd = true, end
	if record == nil {
		if changed {
			s.firstSeenAt = now
		}
		s.hasRecord, s.at = false, ident.Position{}
		return
	}
	s.hasRecord, s.at, s.record = true, at, *record
	if changed {
		s.firstSeenAt = now
	}
	if s.claimID != "" && record.ClaimID != s.claimID {
		s.forgetClaim()
	}
	if s.claimID != "" && s.fence == 0 && s.ofPresentEra() {
		s.fence = fenceOf(*record, at)
	}
}

// endEra ends this gateway's claim, because the store is in a new era.
func (s *State) endEra() {
	if s.claimID != "" && s.fence != 0 && !s.dropped && !s.expired && !s.record.Released {
		s.last = lastLease{s.record, s.extendedAt}
	}
	s.forgetClaim()
	s.upToDate = false
}

// isStray reports whether a record is one that was meant for an earlier era and followed this gateway's own
// last write: a conditional write whose answer was lost may be carried out late, in a log in which its condition
// holds again by chance. It makes no one the holder.
func (s *State) isStray(record *Record, at ident.Position) bool {
	return s.claimID != "" && s.fence != 0 && record.Era < at.Era() && at == s.logEnd
}

// ofPresentEra reports whether the newest record was written for the era in which it is. Otherwise it is from
// an older copy, after which claims may be lost, or meant for an earlier era.
func (s *State) ofPresentEra() bool { return s.hasRecord && s.record.Era == s.at.Era() }

// fenceOf returns the fencing number of the record at a position: that of the claim that it renews or releases.
func fenceOf(r Record, at ident.Position) ident.Fence {
	if r.Fence != 0 {
		return r.Fence
	}
	return at.Fence()
}

func (s *State) forgetClaim() {
	s.claimID, s.fence, s.extendedAt, s.dropped, s.expired = "", 0, time.Time{}, false, false
}

// Expire marks the lease as expired if its deadline has passed without a renewal, and
// then returns its fencing number, only once per claim. From then on this gateway never
// acts under that number, even if a renewal succeeds late, so that the other gateways
// may be told.
func (s *State) Expire(t Timing, now time.Time) (ident.Fence, bool) {
	if deadline := s.Deadline(t); deadline.IsZero() || now.Before(deadline) {
		return 0, false
	}
	s.expired = true
	return s.fence, true
}

// Drop gives the lease up at once, for example because a call showed that there is a
// later holder.
func (s *State) Drop() { s.dropped = true }

// Deadline returns when this gateway must stop acting under the lease; zero if it does
// not hold it.
func (s *State) Deadline(t Timing) time.Time {
	if s.claimID == "" || s.fence == 0 || s.dropped || s.expired || s.record.Released {
		return time.Time{}
	}
	return s.extendedAt.Add(t.Length - t.Margin)
}

// Action is the next write to the lease.
type Action int

// The actions.
const (
	// Wait means that no write is due.
	Wait Action = iota
	// Claim means to claim the lease.
	Claim
	// Renew means to renew the lease.
	Renew
)

// NextAction returns the write that is due now for the candidate with a rank. givenUp
// is the highest fencing number whose holder reports that it no longer acts under it;
// 0 if none.
func (s *State) NextAction(t Timing, rank int, givenUp ident.Fence, now time.Time) Action {
	if !s.upToDate {
		return Wait
	}
	if deadline := s.Deadline(t); !deadline.IsZero() && now.Before(deadline) {
		if now.Sub(s.extendedAt) >= t.RenewEvery {
			return Renew
		}
		return Wait
	}
	if s.claimable(t, rank, givenUp, now) {
		return Claim
	}
	return Wait
}

// claimable reports whether no gateway can act under the newest record any more, and
// the candidate with this rank has waited long enough to claim the lease.
func (s *State) claimable(t Timing, rank int, givenUp ident.Fence, now time.Time) bool {
	waited := now.Sub(s.firstSeenAt)
	delay := time.Duration(rank) * t.RankDelay
	switch {
	case !s.ofPresentEra() && s.last.runs(t, now):
		return true
	case s.neverWritten():
		return waited >= delay
	case !s.ofPresentEra():
		return waited > t.Length+delay
	case (s.record.Released || givenUp == fenceOf(s.record, s.at)) && s.record.PreviousHolder != s.self && s.record.Holder != s.self:
		return waited >= delay
	case s.claimID != "" && s.record.ClaimID == s.claimID:
		// This gateway's own lease has expired or was given up. A new claim gets a
		// higher fencing number.
		return !s.dropped || waited >= t.Length
	}
	return waited > t.Length+delay
}

// unsureUntil returns until when holders may have committed decisions that the newest record lacks: in the
// era before, or in this one if anything was written since it was first seen.
func (s *State) unsureUntil(now time.Time) time.Time {
	if s.logEnd == s.eraSeenEnd {
		return s.eraSeenAt
	}
	return now
}

// neverWritten reports whether no claim was ever written, as far as that can be told: the store names no era, or the
// log is empty in its first one.
func (s *State) neverWritten() bool {
	era := s.logEnd.Era()
	return !s.hasRecord && (era == 0 || era == 1 && s.logEnd.IsFirst())
}

// knownOfEarlierEra returns what a claim takes over where the newest record, if there is one, is not of the log's era:
// what this gateway held, if nobody else can have followed it, or what the older copy has, which may lack decisions.
func (s *State) knownOfEarlierEra(t Timing, now, trueNow time.Time) Record {
	if s.last.runs(t, now) {
		return s.last.record
	}
	known := s.record
	known.UnsureBefore = trueNow.Add(-now.Sub(s.unsureUntil(now))).UnixMilli()
	return known
}

// NextRecord returns the record to write for an action, and the log's end that the
// write must name as its condition. It must be called right before the write with the
// current time, from which the deadline counts, and the true time. A nil decided leaves the committed
// decisions as they are.
func (s *State) NextRecord(t Timing, action Action, claim string, decided json.RawMessage, now, trueNow time.Time) (Record, ident.Position) {
	known := s.record
	if action == Claim && !s.ofPresentEra() && !s.neverWritten() {
		known = s.knownOfEarlierEra(t, now, trueNow)
	}
	r := Record{Holder: s.self, Incarnation: s.incarnation, Decided: decided, Era: s.logEnd.Era(), UnsureBefore: known.UnsureBefore}
	if decided == nil {
		r.Decided = known.Decided
	}
	if action == Claim {
		s.forgetClaim()
		s.claimID = claim
		r.PreviousHolder = known.Holder
	} else {
		r.Fence, r.PreviousHolder = s.fence, s.record.PreviousHolder
	}
	s.extendedAt = now
	r.ClaimID = s.claimID
	return r, s.logEnd
}

// ApplyWrite applies a successful write of a record at a position.
func (s *State) ApplyWrite(r Record, at ident.Position, now time.Time) {
	s.hasRecord, s.record, s.at, s.logEnd, s.firstSeenAt = true, r, at, at.Next(), now
	if s.claimID == r.ClaimID && s.fence == 0 {
		s.fence = fenceOf(r, at)
	}
}

// WriteFailed applies a write that failed or whose result is not known: the store has
// to be read again, and the deadline counts from previousExtension as before the write.
func (s *State) WriteFailed(previousExtension time.Time) {
	s.upToDate = false
	s.extendedAt = previousExtension
}

// ReleaseRecord returns the record that releases the lease and the log's end that its
// write must name as its condition; false if the lease is not held.
func (s *State) ReleaseRecord(t Timing, now time.Time) (Record, ident.Position, bool) {
	if deadline := s.Deadline(t); deadline.IsZero() || !now.Before(deadline) {
		return Record{}, ident.Position{}, false
	}
	r := s.record
	r.Fence, r.Released = s.fence, true
	return r, s.logEnd, true
}
