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
	// MoveTime is the least time that moving a KV cache is tried in.
	MoveTime time.Duration
	// Moves is how many KV caches are held in memory at once.
	Moves int
	// FruitlessAttempts without any new token give the request up.
	FruitlessAttempts int
	// Backoff is the pause after a second fruitless attempt and later ones.
	Backoff retry.Backoff
	// RetryAfter is the least time told to callers whose request is given
	// up; they are told up to twice as much, so that they do not return
	// together.
	RetryAfter time.Duration
	// Linger is how long a stream goes on without a caller.
	Linger time.Duration
	// Keep is how long an ended stream can be read again.
	Keep time.Duration
	// Streams is how many streams a gateway keeps.
	Streams int
	// IdleStreams is how many streams without a caller it keeps for one
	// client account.
	IdleStreams int
	// MaxTokens bounds an answer's length.
	MaxTokens uint32
	// FrameTokens bounds a frame towards a caller.
	FrameTokens int
	// HandOverTime bounds the hand-over of all streams to a peer.
	HandOverTime time.Duration
}

// DefaultConfig returns the values that the gateway starts from.
func DefaultConfig() Config {
	return Config{
		SilenceLimit:      3 * time.Second,
		HeartbeatInterval: time.Second,
		LeaveMargin:       500 * time.Millisecond,
		MoveTime:          2 * time.Second,
		Moves:             4,
		FruitlessAttempts: 6,
		Backoff:           retry.DefaultBackoff,
		RetryAfter:        time.Second,
		Linger:            10 * time.Second,
		Keep:              30 * time.Second,
		Streams:           4096,
		IdleStreams:       128,
		MaxTokens:         16384,
		FrameTokens:       256,
		HandOverTime:      2 * time.Second,
	}
}
