// Package journal defines the records by which gateways agree on who may
// dispatch a call that must not be repeated, and how they are written to the
// platform's log.
//
// Records are spread over partitions by key. All gateways must use the same
// Partitions, Window and MaxSkew: with different ones they would judge one
// key by different records. That is why these are constants and no settings.
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

// The limits that all gateways share.
const (
	// Partitions is the number of streams.
	Partitions = 2
	// Window is how long after it was issued a key may still be claimed. The
	// log must keep records for twice the sum of Window and MaxSkew, plus the
	// time between two marks, or a gateway that starts refuses calls for a
	// while; see Fold.CompleteSince in package fold.
	Window = time.Hour
	// MaxSkew is how far a caller's clock may be ahead of the log's. A claim
	// issued later than that is void.
	MaxSkew = time.Minute
)

// ClaimID identifies one claim.
type ClaimID = uuid.UUID

// NewClaimID returns a random ID.
func NewClaimID() ClaimID { return uuid.New() }

// Digest tells requests under one key apart.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a request. It covers when the key was
// issued: a caller that stamped each retry anew would outlive the window and
// could have its call run twice, so it is refused at its first retry.
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

// writeLengthPrefixed writes the length before the part, so that no two lists of parts
// give the same bytes.
func writeLengthPrefixed(write func([]byte) (int, error), part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = write(size[:])
	_, _ = write(part)
}

// Stream returns the name of a partition's stream.
func Stream(partition int) string { return "calls/" + strconv.Itoa(partition) }

// Partition returns the partition of a key.
func Partition(key ident.CallKey) int {
	return int(xxhash.Sum64String(key.String()) % Partitions)
}

// Event is a Claim, Release, Outcome or Mark.
type Event interface{ event() }

// Head is common to all events of one key.
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

// Claim asks for the right to dispatch the call of a key. The first valid
// claim in the log has it.
type Claim struct {
	Head
	Holder            ident.Instance
	HolderIncarnation ident.Incarnation
	// Attempt is the caller's count. Once an attempt has owned the key,
	// claims of earlier attempts are void.
	Attempt uint32
	// Target is recorded before dispatch, so that whoever has to find out
	// what became of the call knows the one place where it can have run.
	Target Target
	// Supersedes names the claim that this one takes over from, in order to
	// settle it. It is zero for an ordinary claim.
	Supersedes ClaimID
}

// Release gives a claim up that was never dispatched, because its call was
// handed to a peer.
type Release struct{ Head }

// Outcome tells how a claim ended.
type Outcome struct {
	Head
	Kind    outcome.Kind
	Reason  outcome.Reason
	Payload []byte
	// PayloadOmitted: the payload was too large to be kept.
	PayloadOmitted bool
}

// Mark carries nothing but its time in the log. Marks let a new reader see
// since when it knows everything, also when no calls were made.
type Mark struct{}

func (Claim) event()   {}
func (Release) event() {}
func (Outcome) event() {}
func (Mark) event()    {}
