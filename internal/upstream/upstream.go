// Package upstream defines the interfaces of upstreams: model engines and plain
// services. Adapters for particular protocols live in packages of their own.
//
// An adapter must never repeat a request by itself: calls run at most once only if each
// call of Invoke sends at most one request.
package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The errors that an adapter must tell apart; compare with errors.Is. Any
// other error means that the request may have run.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused means that the upstream answered that it ran nothing.
	ErrRefused = errors.New("upstream refused the request")
	// ErrLeaving means that the upstream refused because it is leaving. It matches
	// ErrRefused.
	ErrLeaving = &refusal{"upstream is leaving"}
	// ErrOldFence means that the upstream refused because of an old fencing number. It
	// matches ErrRefused.
	ErrOldFence = &refusal{"old fencing number"}
)

// refusal is an error that also matches ErrRefused.
type refusal struct{ text string }

func (r *refusal) Error() string { return r.text }

// Is makes every refusal match ErrRefused.
func (r *refusal) Is(target error) bool { return target == ErrRefused }

// MayHaveRun reports whether a request that failed with err may have run.
func MayHaveRun(err error) bool {
	return !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused)
}

// GenerateRequest asks an engine for a token stream.
type GenerateRequest struct {
	Request ident.Request
	// Attempt counts from 1. The frames of the answer carry it too.
	Attempt uint32
	Prompt  string
	// Delivered are the tokens that the caller already has.
	Delivered []string
	// MaxTokens is the length of the whole answer, Delivered included.
	MaxTokens uint32
	// Priority orders requests at the engine; a higher one is served first.
	Priority int32
}

// Frame is one part of a token stream.
type Frame struct {
	Attempt uint32
	// Index of the first token within the whole answer, from 0.
	Index  uint32
	Tokens []string
	// Done is set on the last frame.
	Done bool
	// PrefilledTokens is how many tokens this attempt had to prefill; it is set
	// on the first frame.
	PrefilledTokens uint32
	// Heartbeat marks an empty frame which shows that the connection works.
	Heartbeat bool
}

// TokenStream delivers the frames of one attempt.
type TokenStream interface {
	// Next returns the next frame, or io.EOF after a frame with Done.
	Next() (Frame, error)
	// Close cancels the attempt at the engine. It may be called twice.
	Close() error
}

// Report is an engine's load as it was some time ago; see Age.
type Report struct {
	Instance            ident.Instance
	Incarnation         ident.Incarnation
	Leaving             bool
	Running             int
	Queued              int
	QueuedPrefillTokens int
	// BatchTokens is how many tokens the running batch holds in memory.
	BatchTokens    int
	Model, Version string
	// Age is how old the values were when the engine sent them.
	Age time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// Step is the current time between two tokens of one stream.
	Step         time.Duration
	AppliedFence ident.Fence
}

// CacheEvent reports that a prefix block was stored in an engine's cache or removed
// from it.
type CacheEvent struct {
	Sequence uint64
	Stored   bool
	// Block is the hash of the prefix that ends with this block.
	Block uint64
}

// Order is the desired state of an engine. It gives the whole state and not a change,
// so it does no harm if the same order arrives repeatedly or late.
type Order struct {
	Fence          ident.Fence
	Model, Version string
	Adapters       []string
	Role           string
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns the events whose sequence is above after. Events come late,
	// and some are missing.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	ExportCache(ctx context.Context, id ident.Request) ([]byte, error)
	// ImportCache returns how many tokens were imported.
	ImportCache(ctx context.Context, id ident.Request, cache []byte) (int, error)
	// Apply errors: ErrOldFence.
	Apply(ctx context.Context, order Order) error
}

// InvokeRequest is one call of a plain service.
type InvokeRequest struct {
	Method ident.Method
	// Key is the idempotency key with its scope; empty for idempotent methods.
	Key     string
	Fence   ident.Fence
	Payload []byte
	// Incarnation, unless 0, is the only incarnation that may run the call. Any other
	// refuses it with ErrRefused, because it does not know the calls and the fencing
	// numbers that this one knew.
	Incarnation ident.Incarnation
}

// Answer is what a plain service answered after running a call.
type Answer struct {
	Payload []byte
	// Failed is whether the application itself reported a failure of the call.
	Failed bool
}

// FindState is the state of a key's call at a plain service.
type FindState int

// The states.
const (
	Absent  FindState = 1
	Running FindState = 2
	Done    FindState = 3
)

// FindResult is what a plain service knows about the call of a key.
type FindResult struct {
	State  FindState
	Answer Answer
	// Fenced is whether the service refuses lower fencing numbers for this key from now
	// on.
	Fenced bool
	// Incarnation is the one that answered. Only the incarnation that a call was sent to
	// can say that the call never arrived.
	Incarnation ident.Incarnation
}

// Health is a plain service's state.
type Health struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Leaving     bool
	Running     int
}

// Plain is a plain service.
type Plain interface {
	Invoke(ctx context.Context, req InvokeRequest) (Answer, error)
	// Find errors: ErrRefused if the service cannot tell the outcomes of calls.
	Find(ctx context.Context, key string, fence ident.Fence) (FindResult, error)
	Health(ctx context.Context) (Health, error)
}
