// Package ident defines the types of the identifiers that all packages share.
//
// Each identifier has a type of its own, so that the ID of an instance cannot be
// passed where a client account is meant.
package ident

import (
	"net/url"

	"github.com/google/uuid"
)

// Instance identifies one instance of the platform: a gateway or an upstream.
type Instance string

// FailureDomain identifies a set of instances that can fail together.
type FailureDomain string

// Region identifies a set of failure domains.
type Region string

// MachineClass identifies a kind of instance with its own price.
type MachineClass string

// ClientAccount identifies a customer whose callers send requests.
type ClientAccount string

// Service identifies a service: upstreams that are described by one document.
type Service string

// SoftwareVersion names the version of the software that an upstream runs. Versions of a
// service can be compared for equality, but have no order.
type SoftwareVersion string

// Request identifies one request. For token streams the caller chooses it.
type Request string

// maxLoggedBytes is how many bytes of an ID that a caller chose are logged.
const maxLoggedBytes = 64

// ForLog returns the ID, shortened if it is very long.
func (r Request) ForLog() Request { return r[:min(len(r), maxLoggedBytes)] }

// Key is a caller's idempotency key, unique within its client account.
type Key string

// Claim identifies one attempt to become the owner of an idempotency key, who may run
// its call.
type Claim string

// Class names a latency class that a service's document defines.
type Class string

// Method names a method of a plain service.
type Method string

// Offset is the position of a record in a stream of the platform's log. The first is 0.
type Offset uint64

// Era tells one log of the platform's store from the next. It rises by one each time the store comes back
// from an older copy: records are gone then, and offsets are given out again. 0 means that the store names
// no eras.
type Era uint64

// Revision is the version of a configuration: one more than the offset of the log
// record that created it. 0 means that there is no configuration.
type Revision uint64

// Fence is a fencing number of a lease. A higher one was granted later. 0 means none.
type Fence uint64

// Incarnation tells successive processes with the same instance ID apart. The later
// one has the higher number.
type Incarnation uint64

// CallKey is an idempotency key with its scope: it is unique within the service and the
// client account.
type CallKey struct {
	Service Service
	Account ClientAccount
	Key     Key
}

// String returns the form of the key that is sent to upstreams. Its parts are escaped:
// otherwise the key "a/x" of one account could equal the key "x" of another
// account whose name ends in "/a", and one would get the other's outcome.
func (k CallKey) String() string {
	return url.PathEscape(string(k.Service)) + "/" + url.PathEscape(string(k.Account)) + "/" + url.PathEscape(string(k.Key))
}

// NewRequest returns a random request ID.
func NewRequest() Request { return Request(uuid.NewString()) }
