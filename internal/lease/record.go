// Package lease decides which process may act for a service in a failure
// domain. A lease is a chain of records in a stream of the platform's log:
// claims, renewals and a release. The offset of the claim gives the fencing
// number that every order of its holder carries.
//
// No two clocks are ever compared. A holder counts its own deadline from a
// monotonic reading taken before the append. A candidate claims only after it
// has itself watched the newest record for longer than the lease's length,
// and its claim names that record: a renewal in between defeats it.
package lease

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Name names a lease.
type Name struct {
	Service ident.Service `json:"service"`
	// FailureDomain is empty for the lease over the size of the service's
	// whole fleet.
	FailureDomain ident.FailureDomain `json:"failure_domain,omitempty"`
}

// Holder is one life of one process.
type Holder struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Process tells two processes of one incarnation apart, for example
	// the one before a restart and the one after it.
	Process string `json:"process"`
}

// Kind is what a record does.
type Kind string

// The kinds. A reader ignores records of other kinds.
const (
	Claim   Kind = "claim"
	Renewal Kind = "renewal"
	Release Kind = "release"
)

// Record is one record of the leases' stream.
type Record struct {
	// ID finds the record again when the answer to its append was lost.
	ID     string `json:"id"`
	Kind   Kind   `json:"kind"`
	Name   Name   `json:"name"`
	Holder Holder `json:"holder"`
	// Length counts from when a candidate has read the record.
	Length Milliseconds `json:"length_ms"`
	// Supersedes names the record that must be the newest of its lease for
	// this one to be accepted.
	Supersedes Link `json:"supersedes,omitempty"`
	// Fence of the holder; 0 in a claim, whose offset decides it.
	Fence ident.Fence `json:"fence,omitempty"`
}

// Milliseconds is a duration as records carry it.
type Milliseconds int64

// Duration converts to the library's type.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Link names a record by its offset plus one; 0 names none.
type Link uint64

// LinkTo returns the link to the record at an offset.
func LinkTo(offset ident.Offset) Link { return Link(offset) + 1 }

// fenceOf is the fencing number of the claim at an offset. It is the offset
// plus one because fence 0 means none.
func fenceOf(offset ident.Offset) ident.Fence { return ident.Fence(offset) + 1 }

// maxLeaseLength keeps a damaged record from blocking its lease for good.
const maxLeaseLength = time.Hour

// Encode returns the bytes that the log stores.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errcode.Wrap(errcode.Internal, err, "encode lease record")
}

// Decode reads a record and checks that it can be folded. Errors:
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
