package streaming

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// answer holds a stream's tokens so far. Any number of callers may follow it,
// each at its own pace. Its memory is bounded by the answer's length, however
// slow a caller is. It is safe for concurrent use.
type answer struct {
	mu     sync.Mutex
	tokens []string
	// final is set once no more tokens follow.
	final     *outcome.Outcome
	followers map[*follower]struct{}
}

// follower receives the changes of an answer on behalf of one caller.
type follower struct {
	// changed holds a value if the answer has grown or ended since the follower
	// last received from it.
	changed chan struct{}
}

func newAnswer(delivered []string) *answer {
	return &answer{tokens: delivered, followers: make(map[*follower]struct{})}
}

// setTokens sets all tokens so far and notifies the followers. The slice is
// shared, so its tokens must not change.
func (a *answer) setTokens(tokens []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = tokens
	a.notifyFollowers()
}

// end sets the final outcome and notifies the followers.
func (a *answer) end(o outcome.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.final = &o
	a.notifyFollowers()
}

// notifyFollowers notifies every follower of a change. The caller holds a.mu.
func (a *answer) notifyFollowers() {
	for f := range a.followers {
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}
}

// snapshot returns the tokens so far and the final outcome, which is nil while
// the answer goes on.
func (a *answer) snapshot() ([]string, *outcome.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens, a.final
}

// follow sends the answer to sink from index next on until it ends. It returns
// the final outcome, or an error if the caller has disconnected.
func (a *answer) follow(ctx context.Context, next uint32, sink Sink, config Config) (outcome.Outcome, error) {
	f := a.subscribe()
	defer a.unsubscribe(f)
	heartbeat := time.NewTimer(config.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		tokens, final := a.snapshot()
		if int(next) < len(tokens) {
			end := min(int(next)+config.MaxFrameTokens, len(tokens))
			if err := sink.Tokens(next, tokens[next:end:end]); err != nil {
				return outcome.Outcome{}, err
			}
			next = uint32(end)
			heartbeat.Reset(config.HeartbeatInterval)
			continue
		}
		if final != nil {
			return *final, nil
		}
		if err := f.wait(ctx, sink, heartbeat, config); err != nil {
			return outcome.Outcome{}, err
		}
	}
}

// wait returns nil when the answer has changed, or an error if the caller has
// disconnected. Meanwhile it sends heartbeats, so that a caller can tell a slow
// answer from a dead connection.
func (f *follower) wait(ctx context.Context, sink Sink, heartbeat *time.Timer, config Config) error {
	for {
		select {
		case <-f.changed:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-heartbeat.C:
			if err := sink.Heartbeat(); err != nil {
				return err
			}
			heartbeat.Reset(config.HeartbeatInterval)
		}
	}
}

func (a *answer) subscribe() *follower {
	f := &follower{changed: make(chan struct{}, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers[f] = struct{}{}
	return f
}

func (a *answer) unsubscribe(f *follower) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.followers, f)
}
