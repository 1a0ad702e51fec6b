// Package explain remembers why recent requests went where they went, so that
// an operator can ask a gateway about a request ID.
package explain

import (
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
)

// Attempt is one upstream that was tried, with the decision behind it.
type Attempt struct {
	Upstream   ident.Instance   `json:"upstream"`
	Reasons    []routing.Reason `json:"reasons,omitempty"`
	Predicted  time.Duration    `json:"predicted_first_token_ns"`
	FirstToken time.Duration    `json:"first_token_ns,omitempty"`
	Error      string           `json:"error,omitempty"`
}

// Record is what is known of one request. It is immutable once added.
type Record struct {
	Request  ident.Request       `json:"request_id"`
	Service  ident.Service       `json:"service"`
	Account  ident.ClientAccount `json:"client_account"`
	Attempts []Attempt           `json:"attempts"`
	Outcome  string              `json:"outcome"`
	Reason   string              `json:"reason,omitempty"`
	At       time.Time           `json:"at"`
}

// Recorder keeps the last records in a ring. Adding takes no lock.
type Recorder struct {
	next  atomic.Uint64
	slots []atomic.Pointer[Record]
}

// NewRecorder returns a recorder that keeps size records.
func NewRecorder(size int) *Recorder {
	return &Recorder{slots: make([]atomic.Pointer[Record], size)}
}

// Add remembers a finished request in place of the oldest one.
func (r *Recorder) Add(record *Record) {
	slot := (r.next.Add(1) - 1) % uint64(len(r.slots))
	r.slots[slot].Store(record)
}

// Find returns the newest record of a request.
func (r *Recorder) Find(id ident.Request) (*Record, bool) {
	newest := r.next.Load()
	size := uint64(len(r.slots))
	for back := uint64(1); back <= size && back <= newest; back++ {
		record := r.slots[(newest-back)%size].Load()
		if record != nil && record.Request == id {
			return record, true
		}
	}
	return nil, false
}
