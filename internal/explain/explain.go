// Package explain keeps the routing decisions and the outcomes of recent requests, so
// that an operator can ask a gateway about a request ID.
package explain

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
)

// Subject is the request that an event is about.
type Subject struct {
	Request ident.Request       `json:"request_id"`
	Service ident.Service       `json:"service"`
	Account ident.ClientAccount `json:"client_account"`
}

// Attempt is one upstream that was tried, with the decision behind it.
type Attempt struct {
	Upstream ident.Instance `json:"upstream"`
	// Cause is "first", or why the previous attempt did not answer the request.
	Cause   string           `json:"cause"`
	Reasons []routing.Reason `json:"reasons,omitempty"`
	// PredictedFirstToken and FirstToken are times to the first token, or to the answer
	// of a plain service. FirstToken is 0 if there was no token or answer.
	PredictedFirstToken time.Duration `json:"predicted_first_token_ns"`
	FirstToken          time.Duration `json:"first_token_ns,omitempty"`
	Error               string        `json:"error,omitempty"`
}

// Ending is the outcome that the caller got.
type Ending struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Message string `json:"message,omitempty"`
}

// event is an attempt or an ending. It is immutable once added.
type event struct {
	subject Subject
	attempt *Attempt
	ending  *Ending
	at      time.Time
}

// Record holds the kept events of one request, oldest first.
type Record struct {
	Subject
	Attempts []Attempt `json:"attempts"`
	Endings  []Ending  `json:"endings"`
	// Since is the time of the oldest kept event.
	Since time.Time `json:"since"`
}

// Recorder keeps the newest events of a gateway in a ring buffer. It is safe for
// concurrent use, and adding an event takes no lock.
type Recorder struct {
	next  atomic.Uint64
	slots []atomic.Pointer[event]
}

// NewRecorder returns a recorder that keeps size events.
func NewRecorder(size int) *Recorder {
	return &Recorder{slots: make([]atomic.Pointer[event], size)}
}

// RecordAttempt adds an attempt that has ended.
func (r *Recorder) RecordAttempt(s Subject, a Attempt) {
	r.add(&event{subject: s, attempt: &a, at: time.Now()})
}

// RecordEnding adds the outcome that a caller got.
func (r *Recorder) RecordEnding(s Subject, e Ending) {
	r.add(&event{subject: s, ending: &e, at: time.Now()})
}

// add puts an event in place of the oldest one.
func (r *Recorder) add(e *event) {
	slot := (r.next.Add(1) - 1) % uint64(len(r.slots))
	r.slots[slot].Store(e)
}

// Find returns the records of a request ID. Client accounts choose request IDs, so
// several of them may have used the same one; each then has a record of its own.
func (r *Recorder) Find(id ident.Request) []Record {
	var records []Record
	for _, e := range r.eventsOf(id) {
		i := slices.IndexFunc(records, func(known Record) bool { return known.Subject == e.subject })
		if i < 0 {
			i = len(records)
			records = append(records, Record{Subject: e.subject, Since: e.at})
		}
		if e.attempt != nil {
			records[i].Attempts = append(records[i].Attempts, *e.attempt)
		}
		if e.ending != nil {
			records[i].Endings = append(records[i].Endings, *e.ending)
		}
	}
	return records
}

// eventsOf returns the events of a request, oldest first.
func (r *Recorder) eventsOf(id ident.Request) []*event {
	var found []*event
	for i := range r.slots {
		e := r.slots[i].Load()
		if e != nil && e.subject.Request == id {
			found = append(found, e)
		}
	}
	slices.SortStableFunc(found, func(a, b *event) int { return a.at.Compare(b.at) })
	return found
}
