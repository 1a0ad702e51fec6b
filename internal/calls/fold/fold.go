// Package fold computes, from the records of one journal partition in their
// order, which claim owns each key, and so which gateway may dispatch its call, and
// how the call ended. It depends on nothing but the records, so that every reader
// of the same records reaches the same decisions.
//
// States of a key:
//
//	open ──Claim──▶ claimed ──Outcome(completed|failed)──▶ final
//	                   │ ├──Outcome(unknown)──▶ unknown ──▶ final, or open
//	                   │ └──Claim that supersedes──▶ claimed, to find out the outcome
//	                   ├──Outcome(not_run)──▶ open again
//	                   └──Release──▶ open again, and a peer will claim it
package fold

import (
	"slices"
	"time"
	"unique"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// State is the state of a key.
type State uint8

// The states.
const (
	// Open: no claim was seen, only the end of a claim whose record may follow.
	Open State = iota
	// Claimed: the holder may have dispatched the call.
	Claimed
	// Unknown: the holder dispatched the call and does not know its outcome.
	Unknown
	// NotRun: the last claim ended without running; the key is open again.
	NotRun
	// Released: the last holder handed the call over to a peer, which will
	// claim the key.
	Released
	// Final: the outcome is known and never changes.
	Final
)

// Verdict says whether a claim owns its key, and if not, why.
type Verdict int

// The verdicts.
const (
	// Won: the claim owns the key.
	Won Verdict = iota + 1
	// LostClaimed: another claim owns the key.
	LostClaimed
	// LostFinal: the outcome of the key was already known.
	LostFinal
	// LostKeyReused: the key belongs to a different request.
	LostKeyReused
	// LostToLaterAttempt: a later attempt of the caller has owned the key.
	LostToLaterAttempt
	// LostOutsideWindow: at the record's time in the log, the key had expired
	// or its IssuedAt was more than MaxSkew ahead.
	LostOutsideWindow
	// LostEnded: an earlier record had already ended the claim.
	LostEnded
)

// Decision is the verdict on one claim record.
type Decision struct {
	Claim   journal.ClaimID
	Verdict Verdict
	// Fence is the winner's fencing number, at least 1; 0 if the claim lost.
	Fence ident.Fence
}

// View is what is known about a key.
type View struct {
	State    State
	Digest   journal.Digest
	IssuedAt time.Time
	// Attempt is the highest attempt that has owned the key; 0 means none.
	Attempt uint32
	// Claim, Holder, Target and Fence are those of the last owner.
	Claim  journal.ClaimID
	Holder ident.Instance
	Target journal.Target
	Fence  ident.Fence
	// Settling reports that the owner took over only to find out the outcome.
	Settling bool
	// SeenAt is when the reader applied the last owner's claim, by its own
	// clock.
	SeenAt time.Time
	// Kind, Reason and Payload are set when State is Final; Reason also for
	// NotRun and Unknown.
	Kind           outcome.Kind
	Reason         outcome.Reason
	Payload        []byte
	PayloadOmitted bool
}

// Fold is the state of one partition. It is not safe for concurrent use.
type Fold struct {
	// entries holds the first request of each key; entry.next leads to the
	// others.
	entries map[ident.CallKey]*entry
	// expiryQueue holds all requests in the order of their first records.
	expiryQueue []expiryItem
	// logTime is the latest time of a record in the log.
	logTime time.Time
	// partial reports that the records before the first one read had expired.
	partial   bool
	hasFirst  bool
	firstTime time.Time
}

// entry is the state of one request under a key.
type entry struct {
	View
	// ended lists the request's claims that can never own the key again, so that
	// a late or second record of such a claim is ignored.
	ended []journal.ClaimID
	// next is the next request under the same key, in the order of the log.
	// It cannot own the key before this request has expired.
	next *entry
}

// expiryItem is an element of the expiry queue: a request's key and issue time.
type expiryItem struct {
	key      ident.CallKey
	issuedAt time.Time
}

// New returns an empty fold. partial reports that the records before the first
// one that will be applied have expired.
func New(partial bool) *Fold {
	return &Fold{entries: map[ident.CallKey]*entry{}, partial: partial}
}

// Len returns the number of keys that the fold holds.
func (f *Fold) Len() int { return len(f.entries) }

// CompleteSince returns a time such that, once the reader is at the log's head,
// all valid records of keys issued after it have been read. ok is false while
// there is no such time, because no record has been read. The time is zero if the
// fold is not partial.
//
// A record is void when its key was issued more than MaxSkew after the record's
// own time in the log, or more than Window before it. So records that expired
// before they were read are about keys issued before firstTime + MaxSkew. Such a
// record can also prevent, for one Window more, another request from owning the
// same key, and the reader cannot see that. Requests issued yet another MaxSkew
// later have no record from before that time.
func (f *Fold) CompleteSince() (since time.Time, ok bool) {
	if !f.partial {
		return time.Time{}, true
	}
	return f.firstTime.Add(journal.Window + 2*journal.MaxSkew), f.hasFirst
}

// CompleteFor reports whether the fold holds everything that the records read so
// far say about a key issued at issuedAt: no such record expired before it was
// read, and none was dropped because the key has expired.
func (f *Fold) CompleteFor(issuedAt time.Time) bool {
	since, ok := f.CompleteSince()
	return ok && issuedAt.After(since) && !journal.Expired(issuedAt, f.logTime)
}

// Get returns what is known about the request that a key belongs to.
func (f *Fold) Get(key ident.CallKey) (View, bool) {
	e := f.current(key)
	if e == nil {
		return View{}, false
	}
	return e.View, true
}

// current returns the first request of a key that has not expired.
func (f *Fold) current(key ident.CallKey) *entry {
	e := f.entries[key]
	for e != nil && journal.Expired(e.IssuedAt, f.logTime) {
		e = e.next
	}
	return e
}

// Apply applies the next record. offset and appendedAt are the record's; now is
// the reader's clock. It returns a decision and true for claims, and false for
// other events.
func (f *Fold) Apply(offset ident.Offset, appendedAt, now time.Time, event journal.Event) (Decision, bool) {
	f.advanceLogTime(appendedAt)
	switch e := event.(type) {
	case journal.Claim:
		return f.applyClaim(offset, now, e), true
	case journal.Release:
		f.applyRelease(e)
	case journal.Outcome:
		f.applyOutcome(e)
	}
	return Decision{}, false
}

// advanceLogTime sets the log's time, which never goes back here even if the log's
// clock is set back, and drops keys that can no longer be claimed.
func (f *Fold) advanceLogTime(appendedAt time.Time) {
	if !f.hasFirst {
		f.firstTime, f.hasFirst = appendedAt, true
	}
	if appendedAt.After(f.logTime) {
		f.logTime = appendedAt
	}
	for len(f.expiryQueue) > 0 && journal.Expired(f.expiryQueue[0].issuedAt, f.logTime) {
		f.dropExpired(f.expiryQueue[0].key)
		f.expiryQueue[0] = expiryItem{}
		f.expiryQueue = f.expiryQueue[1:]
	}
}

// dropExpired drops the expired requests at the head of a key's list.
func (f *Fold) dropExpired(key ident.CallKey) {
	e := f.current(key)
	if e == nil {
		delete(f.entries, key)
		return
	}
	f.entries[key] = e
}

// entryFor returns the entry of an event's request and creates it if it does not
// exist yet. reused reports that the key belongs to another request. The entry is
// nil when the record is void because of its time.
func (f *Fold) entryFor(h journal.Head) (e *entry, reused bool) {
	if journal.Expired(h.IssuedAt, f.logTime) || journal.IssuedInFuture(h.IssuedAt, f.logTime) {
		return nil, false
	}
	first := f.current(h.Key)
	if first == nil {
		return f.newEntry(h, nil), false
	}
	last := first
	for e := first; e != nil; e = e.next {
		if e.Digest == h.Digest {
			return e, e != first
		}
		last = e
	}
	return f.newEntry(h, last), true
}

// newEntry adds a request after last, or as the first one of its key if last is
// nil.
func (f *Fold) newEntry(h journal.Head, last *entry) *entry {
	key := ident.CallKey{
		Service: ident.Service(intern(string(h.Key.Service))),
		Account: ident.ClientAccount(intern(string(h.Key.Account))),
		Key:     h.Key.Key,
	}
	e := &entry{View: View{Digest: h.Digest, IssuedAt: h.IssuedAt}}
	if last == nil {
		f.entries[key] = e
	} else {
		last.next = e
	}
	f.expiryQueue = append(f.expiryQueue, expiryItem{key: key, issuedAt: h.IssuedAt})
	return e
}

// applyClaim returns the verdict on a claim and makes it the owner if it won.
func (f *Fold) applyClaim(offset ident.Offset, now time.Time, c journal.Claim) Decision {
	d := Decision{Claim: c.ID}
	e, reused := f.entryFor(c.Head)
	switch {
	case e == nil:
		d.Verdict = LostOutsideWindow
		return d
	case reused:
		d.Verdict = LostKeyReused
		return d
	}
	d.Verdict = e.verdictOn(c)
	if d.Verdict != Won {
		return d
	}
	if e.Claim != c.ID {
		e.setOwner(offset, now, c)
	}
	d.Fence = e.Fence
	return d
}

// verdictOn returns whether a claim may own the key now.
func (e *entry) verdictOn(c journal.Claim) Verdict {
	switch {
	case slices.Contains(e.ended, c.ID):
		return LostEnded
	case e.State == Final:
		return LostFinal
	case e.owned() && e.Claim == c.ID:
		// A second copy of the record, after an append whose answer was lost.
		return Won
	case c.Supersedes != journal.ClaimID{}:
		if e.owned() && e.Claim == c.Supersedes {
			return Won
		}
		return LostClaimed
	case e.owned():
		return LostClaimed
	case c.Attempt < e.Attempt:
		return LostToLaterAttempt
	}
	return Won
}

// owned reports whether a claim owns the key.
func (e *entry) owned() bool { return e.State == Claimed || e.State == Unknown }

// setOwner makes a claim the owner and ends the one that it supersedes.
func (e *entry) setOwner(offset ident.Offset, now time.Time, c journal.Claim) {
	if e.owned() {
		e.ended = append(e.ended, e.Claim)
	}
	e.State = Claimed
	e.Claim = c.ID
	e.Holder = ident.Instance(intern(string(c.Holder)))
	// Offsets start at 0, fencing numbers at 1.
	e.Fence = ident.Fence(offset) + 1
	e.SeenAt = now
	e.Settling = c.Supersedes != journal.ClaimID{}
	if e.Settling {
		// Target stays: the call can only be where the superseded claim sent it.
		return
	}
	e.Attempt = c.Attempt
	e.Target = journal.Target{
		Instance:    ident.Instance(intern(string(c.Target.Instance))),
		Incarnation: c.Target.Incarnation,
		Address:     intern(c.Target.Address),
	}
}

// endClaim makes sure that a claim can never own the key again, whether its record
// was already applied or comes later, and reports whether it was the owner.
func (e *entry) endClaim(id journal.ClaimID) bool {
	owner := e.owned() && e.Claim == id
	if !slices.Contains(e.ended, id) {
		e.ended = append(e.ended, id)
	}
	return owner
}

// applyRelease ends a claim; if it was an ordinary owner, the key is released.
func (f *Fold) applyRelease(r journal.Release) {
	e, _ := f.entryFor(r.Head)
	if e == nil || e.State == Final {
		return
	}
	if e.endClaim(r.ID) && !e.Settling {
		e.State = Released
	}
}

// applyOutcome records how a claim ended. A final outcome never changes.
func (f *Fold) applyOutcome(o journal.Outcome) {
	e, _ := f.entryFor(o.Head)
	if e == nil || e.State == Final {
		return
	}
	switch o.Kind {
	case outcome.NotRun:
		if e.endClaim(o.ID) {
			e.State, e.Reason = NotRun, o.Reason
		}
	case outcome.Unknown:
		if e.State == Claimed && e.Claim == o.ID {
			e.State, e.Reason = Unknown, o.Reason
		}
	default:
		// An upstream's answer is valid whichever claim's holder records it,
		// even when another claim has taken over meanwhile.
		e.State = Final
		e.Kind, e.Reason = o.Kind, o.Reason
		e.Payload, e.PayloadOmitted = o.Payload, o.PayloadOmitted
		e.ended = nil
	}
}

// intern returns a copy of a name that is shared in memory by all keys that have
// this name in common.
func intern(name string) string { return unique.Make(name).Value() }
