// Package upstream says what the system needs of an upstream: a model engine
// or a plain service. Adapters live in packages of their own.
//
// An adapter must never repeat a request by itself: the at-most-once promise
// counts on one call of Invoke sending at most one request.
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
	// ErrNotSent: no byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused: the upstream answered that it ran nothing.
	ErrRefused = errors.New("upstream refused the request")
	// ErrLeaving: refused because the upstream is leaving. Is ErrRefused.
	ErrLeaving = &refusal{"upstream is leaving"}
	// ErrOldFence: refused because of an old fencing number. Is ErrRefused.
	ErrOldFence = &refusal{"old fencing number"}
)

// refusal is an error that also matches ErrRefused.
type refusal struct{ text string }

func (r *refusal) Error() string { return r.text }

// Is makes every refusal match ErrRefused.
func (r *refusal) Is(target error) bool { return target == ErrRefused }

// Ran reports whether a request that failed with err may have run.
func Ran(err error) bool {
	return !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused)
}

// GenerateRequest asks an engine for a token stream.
type GenerateRequest struct {
	Request ident.Request
	// Attempt counts from 1. Frames echo it.
	Attempt uint32
	Prompt  string
	// Delivered are the tokens that the caller already has.
	Delivered []string
	// MaxTokens is the length of the whole answer, Delivered included.
	MaxTokens uint32
	// Priority: higher is served first.
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
	// Prefilled is how many tokens this attempt had to prefill; it is set
	// on the first frame.
	Prefilled uint32
	// Heartbeat marks an empty frame that proves the connection alive.
	Heartbeat bool
}

// TokenStream delivers the frames of one attempt.
type TokenStream interface {
	// Next returns the next frame, or io.EOF after a frame with Done.
	Next() (Frame, error)
	// Close cancels the attempt at the engine. It may be called twice.
	Close() error
}

// Report is an engine's load, some time ago.
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
	// Age of the figures when they were sent.
	Age time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// Step is the time between two tokens of one stream now.
	Step         time.Duration
	AppliedFence ident.Fence
}

// CacheEvent tells that a prefix block came into or left an engine's cache.
type CacheEvent struct {
	Sequence uint64
	Stored   bool
	// Block is the hash of the prefix that ends with this block.
	Block uint64
}

// Order is a wanted state for an engine. It is absolute, so that repeats and
// late arrivals of the same order are harmless.
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
	// CacheEvents returns events above after, late and with gaps.
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
	// Key is the scoped key; empty for idempotent methods.
	Key     string
	Fence   ident.Fence
	Payload []byte
	// Incarnation, unless 0, is the only one that may run the call. Another
	// one refuses it with ErrRefused: it has forgotten the calls and the
	// fences that this one knew.
	Incarnation ident.Incarnation
}

// Answer is what a plain service answered after running a call.
type Answer struct {
	Payload []byte
	// Failed: the application itself failed the call.
	Failed bool
}

// FindState is what a plain service knows of a key.
type FindState int

// The states.
const (
	Absent  FindState = 1
	Running FindState = 2
	Done    FindState = 3
)

// FindResult is what a plain service knows of a key.
type FindResult struct {
	State  FindState
	Answer Answer
	// Fenced: lower fences are refused for this key from now on.
	Fenced bool
	// Incarnation that answered. Only the one that a call was sent to can
	// say that the call never came.
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
	// Find errors: ErrRefused when the service cannot tell.
	Find(ctx context.Context, key string, fence ident.Fence) (FindResult, error)
	Health(ctx context.Context) (Health, error)
}
