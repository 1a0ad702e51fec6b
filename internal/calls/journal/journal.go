// Package journal defines the records by which gateways agree on which of them may
// dispatch a call with an idempotency key, and their encoding in the platform's
// log.
//
// Records are spread over partitions by key. All gateways must use the same
// Partitions, Window and MaxSkew: with different ones they would decide about the
// same key from different records. Therefore these are constants, not settings.
package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// The limits that must be the same at all gateways.
const (
	// Partitions is the number of partitions, each a stream of the log.
	Partitions = 2
	// Window is how long a key may be claimed after it was issued. The log must
	// keep records for twice the sum of Window and MaxSkew, plus the time
	// between two marks. Otherwise a gateway refuses calls for a while after
	// it starts; see Fold.CompleteSince in package fold.
	Window = time.Hour
	// MaxSkew is how far a caller's clock may be ahead of the log's. A record
	// whose key was issued further in the future is void.
	MaxSkew = time.Minute
)

// ClaimID identifies one claim.
type ClaimID = uuid.UUID

// NewClaimID returns a random claim ID.
func NewClaimID() ClaimID { return uuid.New() }

// Digest identifies a request, to distinguish requests that use the same key.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a request. It includes issuedAt: a caller that
// set a new time for each attempt could still send the key after the window, and
// its call could run twice. The changed digest makes its second attempt fail
// instead.
func NewDigest(key ident.CallKey, method ident.Method, issuedAt time.Time, payload []byte) Digest {
	h := sha256.New()
	for _, part := range []string{string(key.Service), string(key.Account), string(key.Key), string(method)} {
		writeLengthPrefixed(h.Write, []byte(part))
	}
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(issuedAt.UnixNano()))
	writeLengthPrefixed(h.Write, stamp[:])
	writeLengthPrefixed(h.Write, payload)
	var d Digest
	h.Sum(d[:0])
	return d
}

// writeLengthPrefixed writes the part's length and then the part, so that
// different lists of parts never give the same bytes.
func writeLengthPrefixed(write func([]byte) (int, error), part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = write(size[:])
	_, _ = write(part)
}

// Stream returns the name of a partition's stream in the log.
func Stream(partition int) string { return "calls/" + strconv.Itoa(partition) }

// Partition returns the partition of a key, from 0 to Partitions-1.
func Partition(key ident.CallKey) int {
	return int(xxhash.Sum64String(key.String()) % Partitions)
}

// Event is a Claim, Release, Outcome or Mark.
type Event interface{ event() }

// Head identifies the claim that an event is about, and its request.
type Head struct {
	Key      ident.CallKey
	ID       ClaimID
	Digest   Digest
	IssuedAt time.Time
}

// Target is the one upstream that a claim's call may be sent to.
type Target struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Address     string
}

// Claim requests the right to dispatch the call of a key. The first valid claim
// in the log gets it.
type Claim struct {
	Head
	Holder            ident.Instance
	HolderIncarnation ident.Incarnation
	// Attempt is the caller's count of its attempts, from 1. Once an attempt
	// has owned the key, claims of earlier attempts are void.
	Attempt uint32
	// Target is recorded before dispatch, so that a gateway that has to find
	// out the call's outcome knows the one upstream that can have run it.
	Target Target
	// Supersedes is the claim that this one takes over from, only to find out
	// its outcome. It is zero for an ordinary claim.
	Supersedes ClaimID
}

// Release ends a claim whose call was never dispatched by its holder, because the
// call was handed over to a peer.
type Release struct{ Head }

// Outcome records how a claim ended.
type Outcome struct {
	Head
	Kind    outcome.Kind
	Reason  outcome.Reason
	Payload []byte
	// PayloadOmitted reports that the payload was too large for the journal.
	PayloadOmitted bool
}

// Mark has no content but its record's time in the log. Marks let a new reader
// see from which time on it has read everything, even when no calls are made.
type Mark struct{}

func (Claim) event()   {}
func (Release) event() {}
func (Outcome) event() {}
func (Mark) event()    {}
