// Package lease decides which process may act for a service in a failure
// domain. A lease is a chain of records in a stream of the platform's log:
// claims, renewals and a release. The offset of the claim gives the fencing
// number that every order of the lease's holder carries.
//
// No two clocks are ever compared. A holder computes its own deadline from a
// reading of its monotonic clock before it appends a record. A candidate claims a
// lease only if no newer record has appeared for longer than the lease's length
// since the candidate itself read the newest one. Its claim names that record, so
// a renewal that is appended in between makes the claim invalid.
package lease

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Name identifies a lease.
type Name struct {
	Service ident.Service `json:"service"`
	// FailureDomain is empty for the lease whose holder decides the size of the
	// service's whole fleet.
	FailureDomain ident.FailureDomain `json:"failure_domain,omitempty"`
}

// Holder identifies one run of one process.
type Holder struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Process is a random ID that distinguishes processes of the same
	// incarnation, for example before and after a restart.
	Process string `json:"process"`
}

// Kind is the kind of a record.
type Kind string

// The kinds of records. A reader ignores records of other kinds.
const (
	Claim   Kind = "claim"
	Renewal Kind = "renewal"
	Release Kind = "release"
)

// Record is one record of the stream Stream.
type Record struct {
	// ID is unique. By it a process recognizes its own record even if the answer
	// to the append was lost.
	ID     string `json:"id"`
	Kind   Kind   `json:"kind"`
	Name   Name   `json:"name"`
	Holder Holder `json:"holder"`
	// Length is how long the lease stays taken, counted from when a candidate
	// has read the record.
	Length Milliseconds `json:"length_ms"`
	// Supersedes is the newest record of the lease that the writer knew. This
	// record is accepted only if that one is still the newest.
	Supersedes Link `json:"supersedes,omitempty"`
	// Fence is the holder's fencing number; 0 in a claim, whose offset gives it.
	Fence ident.Fence `json:"fence,omitempty"`
}

// Milliseconds is a duration in the form in which records carry it.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Link refers to a record by its offset plus one; 0 refers to none.
type Link uint64

// LinkTo returns the link to the record at an offset.
func LinkTo(offset ident.Offset) Link { return Link(offset) + 1 }

// fenceOf returns the fencing number of the claim at an offset. It is the offset
// plus one because 0 means that there is no fencing number.
func fenceOf(offset ident.Offset) ident.Fence { return ident.Fence(offset) + 1 }

// maxLeaseLength keeps a damaged record from blocking its lease forever.
const maxLeaseLength = time.Hour

// Encode returns the record as JSON, which is how the log stores it.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errcode.Wrap(errcode.Internal, err, "encode lease record")
}

// Decode returns the record in data if it is complete and valid. Errors:
// errcode.InvalidArgument.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errcode.Wrap(errcode.InvalidArgument, err, "decode lease record")
	}
	if r.ID == "" || r.Name.Service == "" || r.Holder.Process == "" {
		return Record{}, errcode.New(errcode.InvalidArgument, "lease record without id, service or process")
	}
	if r.Length <= 0 || r.Length > Milliseconds(maxLeaseLength/time.Millisecond) {
		return Record{}, errcode.Errorf(errcode.InvalidArgument, "lease record with a length of %d ms", r.Length)
	}
	switch r.Kind {
	case Claim, Renewal, Release:
		return r, nil
	}
	return Record{}, errcode.Errorf(errcode.InvalidArgument, "lease record of kind %q", r.Kind)
}

// NewHolder returns the identity of this process.
func NewHolder(instance ident.Instance, incarnation ident.Incarnation) Holder {
	return Holder{Instance: instance, Incarnation: incarnation, Process: uuid.NewString()}
}

// newRecordID returns a random record ID.
func newRecordID() string { return uuid.NewString() }
