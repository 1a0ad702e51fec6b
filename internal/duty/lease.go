// Package duty decides which gateway carries the duties that only one may have
// at a time, by a lease kept in the platform's store.
//
// The lease is one record that is replaced only under the condition that nothing
// was written since it was read, so that of two gateways that want it one
// succeeds. The offset of a claim is its fencing number: later holders have
// higher ones. The record also carries what the holder has decided for good, so
// that a successor repeats decisions exactly.
package duty

import (
	"encoding/json"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Record is the lease as it stands in the store.
type Record struct {
	Holder ident.Instance    `json:"holder"`
	Incarnation   ident.Incarnation `json:"life"`
	// ClaimID identifies the claim that the record belongs to.
	ClaimID string `json:"claim"`
	// Fence is the fencing number; 0 in the claim itself, whose offset gives it.
	Fence ident.Fence `json:"fence,omitempty"`
	// Released: the holder gave it up and calls no more.
	Released bool `json:"released,omitempty"`
	// PreviousHolder is who held it before the holder.
	PreviousHolder ident.Instance `json:"before,omitempty"`
	// Decided is what holders decided for good.
	Decided json.RawMessage `json:"decided,omitempty"`
	// GatewayCount is how many gateways the holder knew, for those that have just
	// started and know none.
	GatewayCount int `json:"gateways,omitempty"`
	Kept
}

// Kept is what gateways that start need to know of those before them.
type Kept struct {
	// Requests that end upstreams.
	Requests json.RawMessage `json:"kept,omitempty"`
	// Limits that upstreams named.
	Limits json.RawMessage `json:"kept_limits,omitempty"`
}

// Timing bounds a lease. All are measured by a clock that counts suspensions.
type Timing struct {
	// Length: a lease whose record did not change for so long may be claimed.
	Length time.Duration
	// Margin is by how much a holder stops before that.
	Margin time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// RankDelay is how much longer each further candidate waits.
	RankDelay time.Duration
}

// NewTiming returns the timing of a lease of a length. A holder survives one lost
// renewal.
func NewTiming(length, flight time.Duration) Timing {
	const (
		// slack covers the rounding of clocks and the process's own delays.
		slack = 300 * time.Millisecond
	)
	// The platform counts a return of the duty to its last holder within the
	// length as a fault, so that the lease itself is longer.
	length += flight + slack
	margin := flight + slack
	return Timing{Length: length, Margin: margin, RenewEvery: (length - margin) / 2, RankDelay: 500 * time.Millisecond}
}

// State is what a gateway knows of the lease. It does no I/O.
type State struct {
	self ident.Instance
	incarnation ident.Incarnation

	upToDate bool
	// record is the newest one read, at offset; end is what a condition names.
	record Record
	hasRecord   bool
	offset ident.Offset
	logEnd    ident.Offset
	// firstSeenAt is when the record was first seen.
	firstSeenAt time.Time
	// claimID is this gateway's claim, begun at started; fence is 0 until the
	// claim was seen in the store.
	claimID   string
	extendedAt time.Time
	fence   ident.Fence
	// over: the lease ran out, and the claim is used no more.
	expired    bool
	dropped bool
}

// NewState returns a state that knows nothing.
func NewState(self ident.Instance, life ident.Incarnation) *State {
	return &State{self: self, incarnation: life}
}

// ApplyRead takes in the newest record, or that there is none, as read at an instant.
func (s *State) ApplyRead(record *Record, offset, end ident.Offset, now time.Time) {
	changed := !s.upToDate || s.hasRecord != (record != nil) || s.offset != offset
	if s.upToDate && end < s.logEnd {
		return // a read that was behind
	}
	s.upToDate, s.logEnd = true, end
	if record == nil {
		if changed {
			s.firstSeenAt = now
		}
		s.hasRecord = false
		return
	}
	s.hasRecord, s.offset, s.record = true, offset, *record
	if changed {
		s.firstSeenAt = now
	}
	if s.claimID != "" && record.ClaimID != s.claimID {
		s.forgetClaim()
	}
	if s.claimID != "" && s.fence == 0 {
		s.fence = fenceOf(*record, offset)
	}
}

// fenceOf returns a record's fencing number. Offsets count from 0, and 0 means
// none.
func fenceOf(r Record, offset ident.Offset) ident.Fence {
	if r.Fence != 0 {
		return r.Fence
	}
	return ident.Fence(offset) + 1
}

func (s *State) forgetClaim() {
	s.claimID, s.fence, s.extendedAt, s.dropped, s.expired = "", 0, time.Time{}, false, false
}

// Expire notes that the lease has run out without a renewal, and returns its fencing
// number, once. From then on this gateway never acts under that number, even if a
// renewal succeeds late, so that others may be told.
func (s *State) Expire(t Timing, now time.Time) (ident.Fence, bool) {
	if deadline := s.Deadline(t); deadline.IsZero() || now.Before(deadline) {
		return 0, false
	}
	s.expired = true
	return s.fence, true
}

// Drop gives the duties up at once, because a call showed a later holder.
func (s *State) Drop() { s.dropped = true }

// Deadline is when this gateway must stop to act; zero if it does not hold the
// lease.
func (s *State) Deadline(t Timing) time.Time {
	if s.claimID == "" || s.fence == 0 || s.dropped || s.expired || s.record.Released {
		return time.Time{}
	}
	return s.extendedAt.Add(t.Length - t.Margin)
}

// Action is what to write next.
type Action int

// The actions.
const (
	// Wait: nothing is due.
	Wait Action = iota
	// Claim the lease.
	Claim
	// Renew it.
	Renew
)

// NextAction returns what is due now for a candidate of a rank. givenUp is the highest fencing
// number whose holder says that it acts under it no more; 0 if none.
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

// claimable reports whether nobody can act under the newest record any more.
func (s *State) claimable(t Timing, rank int, givenUp ident.Fence, now time.Time) bool {
	waited := now.Sub(s.firstSeenAt)
	delay := time.Duration(rank) * t.RankDelay
	switch {
	case !s.hasRecord:
		return waited >= delay
	case (s.record.Released || givenUp == fenceOf(s.record, s.offset)) && s.record.PreviousHolder != s.self && s.record.Holder != s.self:
		return waited >= delay
	case s.claimID != "" && s.record.ClaimID == s.claimID:
		// Its own lease, run out or refused: a new claim has a higher fence.
		return !s.dropped || waited >= t.Length
	}
	return waited > t.Length+delay
}

// NextRecord returns the record to write for an action, and the end that must not have
// moved. It must be called right before the write, with the present: the
// deadline counts from here.
func (s *State) NextRecord(action Action, claim string, decided json.RawMessage, now time.Time) (Record, ident.Offset) {
	r := Record{Holder: s.self, Incarnation: s.incarnation, Decided: decided}
	if decided == nil {
		r.Decided = s.record.Decided
	}
	if action == Claim {
		s.forgetClaim()
		s.claimID = claim
		r.PreviousHolder = s.record.Holder
	} else {
		r.Fence, r.PreviousHolder = s.fence, s.record.PreviousHolder
	}
	s.extendedAt = now
	r.ClaimID = s.claimID
	return r, s.logEnd
}

// ApplyWrite notes that a record was written at an offset.
func (s *State) ApplyWrite(r Record, offset ident.Offset, now time.Time) {
	s.hasRecord, s.record, s.offset, s.logEnd, s.firstSeenAt = true, r, offset, offset+1, now
	if s.claimID == r.ClaimID && s.fence == 0 {
		s.fence = fenceOf(r, offset)
	}
}

// WriteFailed notes that something else was written meanwhile: what is known is old.
func (s *State) WriteFailed(before time.Time) {
	s.upToDate = false
	s.extendedAt = before
}

// ReleaseRecord returns the record that gives the lease up, or false where it is not
// held.
func (s *State) ReleaseRecord(t Timing, now time.Time) (Record, ident.Offset, bool) {
	if deadline := s.Deadline(t); deadline.IsZero() || !now.Before(deadline) {
		return Record{}, 0, false
	}
	r := s.record
	r.Fence, r.Released = s.fence, true
	return r, s.logEnd, true
}
