package routing

import (
	"cmp"
	"slices"
	"time"
)

// ReclaimAction is what happens to a stream whose upstream is leaving.
type ReclaimAction int

// The actions.
const (
	// Stay leaves the stream where it is: it ends before its upstream does.
	Stay ReclaimAction = 1
	// MoveCache exports the stream's KV cache, imports it at another upstream
	// and continues there.
	MoveCache ReclaimAction = 2
	// Recompute resumes the stream at another upstream from the prompt and the
	// tokens that were delivered.
	Recompute ReclaimAction = 3
)

// plannedNoticeShare is the share of the notice that plans use; the rest is a
// reserve for steps that take longer than predicted.
const plannedNoticeShare = 0.8

// LeavingStream is a stream of this gateway at a leaving upstream.
type LeavingStream struct {
	// Context is the number of tokens in its KV cache: the prompt and what was
	// delivered.
	Context int
	// Cached is how many of them the next upstream already has cached.
	Cached int
	// Remaining is the number of tokens still to come, and BetweenTokens the
	// time between two of them.
	Remaining     int
	BetweenTokens time.Duration
}

// ReclaimStep is the planned action for one stream.
type ReclaimStep struct {
	// Stream is the stream's index in the argument of PlanReclaim.
	Stream int
	Action ReclaimAction
	// After is how long to wait before the action begins.
	After time.Duration
}

// PlanReclaim decides what to do with this gateway's streams at one leaving
// upstream. It returns one step for each stream, in the order in which to act.
// left is the time until the upstream ends. rate is the bandwidth of KV transfer
// in tokens per second, which all gateways share; 0 means that no cache can be
// moved.
//
// Streams that end in time stay. Of the others, caches are moved as long as the
// notice lasts, beginning with the streams whose move saves most recomputation
// for its transfer time. The rest are recomputed elsewhere, spread over the
// notice, so that their prefills do not all begin when the upstream ends.
func PlanReclaim(streams []LeavingStream, left time.Duration, rate float64, gateways int) []ReclaimStep {
	budget := time.Duration(plannedNoticeShare * float64(left))
	var steps, moves []ReclaimStep
	for i, s := range streams {
		step := ReclaimStep{Stream: i, Action: Stay}
		if time.Duration(s.Remaining)*s.BetweenTokens <= budget {
			steps = append(steps, step)
			continue
		}
		moves = append(moves, step)
	}
	slices.SortStableFunc(moves, func(a, b ReclaimStep) int {
		return cmp.Compare(savedShare(streams[b.Stream]), savedShare(streams[a.Stream]))
	})
	perToken := float64(max(1, gateways)) / rate
	at := time.Duration(0)
	for i, m := range moves {
		transfer := duration(float64(streams[m.Stream].Context) * perToken)
		if rate <= 0 || at+transfer > budget {
			return append(steps, spreadResumes(moves[i:], budget)...)
		}
		steps = append(steps, ReclaimStep{Stream: m.Stream, Action: MoveCache, After: at})
		at += transfer
	}
	return steps
}

// savedShare returns how many tokens of recomputation a move saves for each
// token that is transferred.
func savedShare(s LeavingStream) float64 {
	return float64(s.Context-s.Cached) / float64(max(1, s.Context))
}

// spreadResumes makes the steps recompute, evenly spaced over a period.
func spreadResumes(rest []ReclaimStep, over time.Duration) []ReclaimStep {
	for i := range rest {
		rest[i].Action = Recompute
		rest[i].After = over * time.Duration(i) / time.Duration(len(rest))
	}
	return rest
}
