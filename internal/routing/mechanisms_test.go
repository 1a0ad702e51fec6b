package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

var present = time.Unix(100, int64(100*time.Millisecond))

// fleet returns n idle, equal upstreams.
func fleet(n int) []blackboard.Upstream {
	view := make([]blackboard.Upstream, n)
	for i := range view {
		view[i] = runner(ident.Instance(fmt.Sprintf("runner-%d", i)), blackboard.Alive, 0)
	}
	return view
}

// Whatever the view, a decision names an upstream if and only if one is usable,
// and never one that is leaving, gone or excluded.
func TestDecisionsAreUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := fleet(rapid.IntRange(0, 12).Draw(t, "upstreams"))
		req := Request{PromptTokens: 1000, MaxTokens: 10, Blocks: []uint64{1, 2, 3}, Explain: true}
		usable := make(map[ident.Instance]bool)
		for i := range view {
			u := &view[i]
			u.State = blackboard.MemberState(rapid.IntRange(1, 4).Draw(t, "state"))
			u.Report.Leaving = rapid.Bool().Draw(t, "leaving")
			u.Report.Running = rapid.IntRange(0, 200).Draw(t, "running")
			u.Report.QueuedPrefillTokens = rapid.IntRange(0, 1e6).Draw(t, "queued")
			u.Report.PrefillRate = float64(rapid.IntRange(0, 2).Draw(t, "rate"))
			excluded := rapid.Bool().Draw(t, "excluded")
			if excluded {
				req.Exclude = append(req.Exclude, u.Instance.ID)
			}
			usable[u.Instance.ID] = !excluded && !u.Report.Leaving && u.State < blackboard.Leaving
		}
		any := false
		for _, ok := range usable {
			any = any || ok
		}
		d := New(DefaultParams(), time.Unix(90, 0)).Decide(nil, view, req, present)
		if d.Found() != any || d.Found() && !usable[d.Upstream] {
			t.Fatalf("chose %q of %v", d.Upstream, usable)
		}
	})
}

// Guards against the same new prefix being computed at a different upstream for
// each gateway. The first requests of the prefix arrive through several gateways
// before any cache event, so the gateways do not see each other's choices.
func TestGatewaysAgreeOnTheHomeOfANewPrefix(t *testing.T) {
	view := fleet(9)
	homes := make(map[ident.Instance]int)
	for prefix := range uint64(60) {
		req := Request{PromptTokens: 3000, MaxTokens: 100, Blocks: []uint64{(prefix + 1) * 0x9e3779b97f4a7c15}}
		chosen := make(map[ident.Instance]bool)
		for range 6 {
			gateway := New(DefaultParams(), time.Unix(90, 0))
			d := gateway.Decide(nil, view, req, present)
			chosen[d.Upstream] = true
			homes[d.Upstream]++
		}
		if len(chosen) != 1 {
			t.Errorf("six gateways chose %v for one prefix, want one upstream", chosen)
		}
	}
	if len(homes) != len(view) {
		t.Errorf("60 prefixes are at home on %d of 9 upstreams, want all", len(homes))
	}
}

// A prefix that causes most of the work gets several homes.
func TestPopularPrefixHasMoreHomes(t *testing.T) {
	view := fleet(9)
	r := New(DefaultParams(), time.Unix(90, 0))
	req := Request{PromptTokens: 3000, MaxTokens: 100, Blocks: []uint64{77}}
	chosen := make(map[ident.Instance]bool)
	for range 60 {
		d := r.Decide(nil, view, req, present)
		chosen[d.Upstream] = true
		ticket := r.Started(d, req, present)
		r.FirstToken(&ticket, present.Add(d.FirstToken))
	}
	if len(chosen) < 4 {
		t.Errorf("a prefix with all of the work has %d homes, want several", len(chosen))
	}
}

// Guards against urgent short requests being refused while long prompts queue at
// all engines, although engines serve the urgent ones first. Reports give only
// the sum of the queue over all priorities.
func TestUrgentRequestsDoNotWaitForTheWholeQueue(t *testing.T) {
	view := []blackboard.Upstream{runner("a", blackboard.Alive, 40000)}
	r := New(DefaultParams(), time.Unix(90, 0))
	long := Request{PromptTokens: 3000, MaxTokens: 500, Class: document.Class{Priority: 1}}
	urgent := Request{PromptTokens: 100, MaxTokens: 40, Class: document.Class{Priority: 3}}
	for range 200 {
		r.Started(r.Decide(nil, view, long, present), long, present)
	}
	view[0].AsOf = present.Add(bucketWidth)
	later := present.Add(2 * bucketWidth)
	first, second := r.Decide(nil, view, urgent, later), r.Decide(nil, view, long, later)
	if first.FirstToken > 200*time.Millisecond || second.FirstToken < time.Second {
		t.Errorf("predicted %v for the urgent and %v for the long request", first.FirstToken, second.FirstToken)
	}
}

// The margin rises until four of five first tokens arrive within it.
func TestMarginFollowsOutcomes(t *testing.T) {
	var p predictor
	for i := range 5000 {
		took := time.Second
		if i%4 == 0 {
			took = 3 * time.Second
		}
		p.learnMargin(1, time.Second, took)
	}
	if m := p.margin(1); m < 2.5 || m > 3.5 {
		t.Errorf("margin is %.2f, want about 3: a quarter takes three times as long", m)
	}
	if m := p.margin(2); m != 1 {
		t.Errorf("margin of another priority is %.2f, want 1", m)
	}
}

// Guards against six gateways filling the same free capacity six times over. All
// see the same report, and none knows what the others send.
func TestGatewaysShareTheFreeCapacity(t *testing.T) {
	view := fleet(3)
	total := 0
	for range 6 {
		total += New(DefaultParams(), time.Unix(90, 0)).Slots(view, 6, present)
	}
	p := DefaultParams()
	if most := int(3 * p.BatchLimit * p.TargetFill); total > most || total < most-6 {
		t.Errorf("six gateways have %d slots in total, want at most %d and at most 6 fewer", total, most)
	}
}

// The learned batch size shrinks while requests queue, and grows back.
func TestBatchIsLearnt(t *testing.T) {
	r := New(DefaultParams(), time.Unix(90, 0))
	full, free := fleet(1), fleet(1)
	full[0].Report.Running, full[0].Report.Queued = 30, 50
	free[0].Report.Running = 30
	local := r.addLocalStates(full)["runner-0"]
	r.learnBatch(&full[0], local)
	shrunk := local.batchSize(96)
	for range 300 {
		r.learnBatch(&free[0], local)
	}
	if grown := local.batchSize(96); shrunk > 30 || grown != 96 {
		t.Errorf("learned batch size %.1f with 30 running and a queue, and %.1f later; want at most 30, and 96", shrunk, grown)
	}
}

func TestPlanReclaim(t *testing.T) {
	const rate = 50000
	step := 30 * time.Millisecond
	streams := []LeavingStream{
		{Context: 5000, Remaining: 10, BetweenTokens: step},
		{Context: 6000, Remaining: 500, BetweenTokens: step, Cached: 5000},
		{Context: 4000, Remaining: 500, BetweenTokens: step},
		{Context: 9000, Remaining: 500, BetweenTokens: step},
	}
	// Two gateways share 50,000 tokens per second: 4,000 tokens take 160 ms and
	// 9,000 take 360 ms, which together fit into 0.8 of 700 ms.
	steps := PlanReclaim(streams, 700*time.Millisecond, rate, 2)
	want := map[int]ReclaimAction{0: Stay, 1: Recompute, 2: MoveCache, 3: MoveCache}
	if len(steps) != len(streams) {
		t.Fatalf("planned %d steps for %d streams", len(steps), len(streams))
	}
	for _, s := range steps {
		if s.Action != want[s.Stream] {
			t.Errorf("stream %d: action %d, want %d", s.Stream, s.Action, want[s.Stream])
		}
		if s.After > 560*time.Millisecond {
			t.Errorf("stream %d begins after %v, want at most 560ms", s.Stream, s.After)
		}
	}
	for _, s := range PlanReclaim(streams, time.Second, 0, 2) {
		if s.Action == MoveCache {
			t.Errorf("stream %d: cache is moved although the bandwidth is 0", s.Stream)
		}
	}
}
