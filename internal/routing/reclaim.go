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
	// Stay: the stream ends before its upstream does.
	Stay ReclaimAction = 1
	// MoveCache: export the KV cache, import it elsewhere and go on there.
	MoveCache ReclaimAction = 2
	// Recompute: resume elsewhere from the prompt and what was delivered.
	Recompute ReclaimAction = 3
)

// plannedNoticeShare is the part of a notice that is planned with; the rest is for
// what takes longer than predicted.
const plannedNoticeShare = 0.8

// LeavingStream is a stream of this gateway at a leaving upstream.
type LeavingStream struct {
	// Context is the tokens in its KV cache: prompt and delivered.
	Context int
	// Cached is how many of them the next upstream has cached anyway.
	Cached int
	// Remaining is the tokens still to come, BetweenTokens their pace.
	Remaining     int
	BetweenTokens time.Duration
}

// ReclaimStep is what to do with one stream.
type ReclaimStep struct {
	// Stream is the index in what was planned for.
	Stream int
	Action ReclaimAction
	// After is when to begin, from now.
	After time.Duration
}

// PlanReclaim decides for the streams at one leaving upstream, in the order in
// which to act. left is the time until the upstream ends, rate the bandwidth of
// KV transfer in tokens a second, which all gateways share.
//
// Streams that end in time stay. Of the others those are moved first whose
// move saves most recomputation for its transfer time, as long as the notice
// lasts; the rest resume elsewhere, spread over the notice, so that their
// prefills do not all begin at the moment of the end.
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
		took := duration(float64(streams[m.Stream].Context) * perToken)
		if rate <= 0 || at+took > budget {
			return append(steps, spreadResumes(moves[i:], budget)...)
		}
		steps = append(steps, ReclaimStep{Stream: m.Stream, Action: MoveCache, After: at})
		at += took
	}
	return steps
}

// savedShare is the recomputation that a move saves for each token moved.
func savedShare(s LeavingStream) float64 {
	return float64(s.Context-s.Cached) / float64(max(1, s.Context))
}

// spreadResumes lets streams resume one after the other.
func spreadResumes(rest []ReclaimStep, over time.Duration) []ReclaimStep {
	for i := range rest {
		rest[i].Action = Recompute
		rest[i].After = over * time.Duration(i) / time.Duration(len(rest))
	}
	return rest
}
