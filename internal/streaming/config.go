package streaming

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/retry"
)

// Config bounds what a gateway spends on token streams.
type Config struct {
	// SilenceLimit condemns an engine's connection without any frame.
	SilenceLimit time.Duration
	// HeartbeatInterval is the longest silence towards a caller.
	HeartbeatInterval time.Duration
	// LeaveMargin before a notice's deadline, streams leave the upstream.
	LeaveMargin time.Duration
	// MinMoveTime is the least time that moving a KV cache is tried in.
	MinMoveTime time.Duration
	// MaxConcurrentMoves is how many KV caches are held in memory at once.
	MaxConcurrentMoves int
	// MaxFruitlessAttempts without any new token give the request up.
	MaxFruitlessAttempts int
	// Backoff is the pause after a second fruitless attempt and later ones.
	Backoff retry.Backoff
	// MinRetryAfter is the least time told to callers whose request is given
	// up; they are told up to twice as much, so that they do not return
	// together.
	MinRetryAfter time.Duration
	// Linger is how long a stream goes on without a caller.
	Linger time.Duration
	// KeepEnded is how long an ended stream can be read again.
	KeepEnded time.Duration
	// MaxStreams is how many streams a gateway keeps.
	MaxStreams int
	// IdleStreams is how many streams without a caller it keeps for one
	// client account.
	IdleStreams int
	// MaxTokens bounds an answer's length.
	MaxTokens uint32
	// MaxFrameTokens bounds a frame towards a caller.
	MaxFrameTokens int
	// HandOverTimeout bounds the hand-over of all streams to a peer.
	HandOverTimeout time.Duration
}

// DefaultConfig returns the values that the gateway starts from.
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
		IdleStreams:          128,
		MaxTokens:            16384,
		MaxFrameTokens:       256,
		HandOverTimeout:      2 * time.Second,
	}
}
