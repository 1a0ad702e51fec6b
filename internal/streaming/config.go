package streaming

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/retry"
)

// Config bounds what a gateway spends on token streams.
type Config struct {
	// SilenceLimit is how long an engine may send no frame, heartbeats
	// included, before the attempt is ended.
	SilenceLimit time.Duration
	// HeartbeatInterval is the longest time without an event towards a caller;
	// a heartbeat is sent after it.
	HeartbeatInterval time.Duration
	// LeaveMargin is how long before the deadline of a reclaim notice streams
	// leave the upstream.
	LeaveMargin time.Duration
	// MinMoveTime is the least remaining time in which moving a KV cache is
	// tried.
	MinMoveTime time.Duration
	// MaxConcurrentMoves bounds the KV caches that are held in memory at once
	// while they are moved.
	MaxConcurrentMoves int
	// MaxFruitlessAttempts is the number of consecutive attempts without a new
	// token after which the request is given up.
	MaxFruitlessAttempts int
	// Backoff is the pause before a retry, from the second fruitless attempt in
	// a row on.
	Backoff retry.Backoff
	// MinRetryAfter is the least retry-after time for callers whose request is
	// refused or given up. The actual time is random, up to twice as long, so
	// that the callers do not all return at once.
	MinRetryAfter time.Duration
	// Linger is how long a stream goes on without a caller.
	Linger time.Duration
	// KeepEnded is how long an ended stream can still be read.
	KeepEnded time.Duration
	// MaxStreams bounds the streams that a gateway keeps.
	MaxStreams int
	// MaxIdleStreams bounds the streams without a caller that a gateway keeps for
	// one client account.
	MaxIdleStreams int
	// MaxTokens bounds the length of an answer.
	MaxTokens uint32
	// MaxFrameTokens bounds the tokens of one frame towards a caller.
	MaxFrameTokens int
	// HandOverTimeout bounds the time to hand all streams over to peers.
	HandOverTimeout time.Duration
}

// DefaultConfig returns the gateway's default bounds.
func DefaultConfig() Config {
	return Config{
		SilenceLimit:         3 * time.Second,
		HeartbeatInterval:    time.Second,
		LeaveMargin:          500 * time.Millisecond,
		MinMoveTime:          2 * time.Second,
		MaxConcurrentMoves:   4,
		MaxFruitlessAttempts: 6,
		Backoff:              retry.DefaultBackoff,
		MinRetryAfter:        time.Second,
		Linger:               10 * time.Second,
		KeepEnded:            30 * time.Second,
		MaxStreams:           4096,
		MaxIdleStreams:       128,
		MaxTokens:            16384,
		MaxFrameTokens:       256,
		HandOverTimeout:      2 * time.Second,
	}
}
