package engine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func init() { testkit.FixSeed() }

// smallParameters returns parameters whose limits are all reached with a few
// requests.
func smallParameters() Parameters {
	p := DefaultParameters()
	p.StepTokens, p.MaxRunning, p.MemoryBlocks = 96, 4, 12
	p.ReportLag, p.EventLag = 0, 0
	return p
}

// sharedBlocks returns the blocks of a prompt. The first two blocks are the same in
// all families, the others in one family only.
func sharedBlocks(family, count int) []uint64 {
	blocks := make([]uint64, count)
	for i := range blocks {
		shared := uint64(i + 1)
		if i >= 2 {
			shared += uint64(family+1) << 32
		}
		blocks[i] = shared
	}
	return blocks
}

// Checks the invariants of any engine: every request that is not cancelled gets all
// its tokens once and in order, memory is never exceeded and is free in the end, and
// the cache events describe exactly what is cached.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel(smallParameters())
		now := time.Unix(0, 0)
		got, want := make(map[int]int), make(map[int]int)
		cached := make(map[uint64]bool)
		last := uint64(0)
		step := func() time.Duration {
			tokens, d := m.Step(now, nil)
			now = now.Add(d)
			for _, token := range tokens {
				if token.Index != got[token.Tag] {
					t.Fatalf("request %d: token %d after %d tokens", token.Tag, token.Index, got[token.Tag])
				}
				got[token.Tag]++
				if token.Done != (got[token.Tag] == want[token.Tag]) {
					t.Fatalf("request %d: done=%v at %d of %d", token.Tag, token.Done, got[token.Tag], want[token.Tag])
				}
			}
			checkMemory(t, m)
			for _, e := range m.CacheEvents(last, now) {
				cached[e.Block], last = e.Stored, e.Sequence
			}
			checkEvents(t, m, cached)
			return d
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			count := rapid.IntRange(0, 6).Draw(t, "blocks")
			w := Attempt{
				ID: ident.Request(strconv.Itoa(i)), Tag: i, Priority: int32(rapid.IntRange(0, 2).Draw(t, "priority")),
				Blocks:        sharedBlocks(rapid.IntRange(0, 2).Draw(t, "family"), count),
				ContextTokens: count*prompt.BlockTokens + rapid.IntRange(1, 63).Draw(t, "rest"),
				OutputTokens:  rapid.IntRange(1, 30).Draw(t, "output"),
			}
			if rapid.Bool().Draw(t, "moved here") {
				m.Import(w.ID, ExportedCache{Tokens: rapid.IntRange(0, w.ContextTokens).Draw(t, "tokens")})
			}
			want[i] = w.OutputTokens
			if err := m.Submit(now, w); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(0, 8).Draw(t, "steps") {
				step()
			}
			if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				victim := rapid.IntRange(0, i).Draw(t, "victim")
				m.Cancel(now, ident.Request(strconv.Itoa(victim)))
				want[victim] = got[victim]
			}
		}
		for step() > 0 {
		}
		for i, n := range want {
			if got[i] != n {
				t.Fatalf("request %d got %d of %d tokens", i, got[i], n)
			}
		}
		if m.cache.privateBlocks != 0 || m.cache.idle.Len() != len(m.cache.blocks) || m.uncomputedTokens() != 0 {
			t.Fatalf("idle, but %d private blocks and %d tokens to compute are left", m.cache.privateBlocks, m.uncomputedTokens())
		}
	})
}

func checkMemory(t *rapid.T, m *Model) {
	if used := len(m.cache.blocks) + m.cache.privateBlocks; used > m.params.MemoryBlocks || m.cache.privateBlocks < 0 {
		t.Fatalf("%d of %d blocks in use, %d private", used, m.params.MemoryBlocks, m.cache.privateBlocks)
	}
	if len(m.running) > m.params.MaxRunning {
		t.Fatalf("%d requests in the batch", len(m.running))
	}
}

func checkEvents(t *rapid.T, m *Model, reported map[uint64]bool) {
	for block, present := range reported {
		if present != (m.cache.blocks[block] != nil) {
			t.Fatalf("events report cached=%v for block %x", present, block)
		}
	}
}

// Reports and events must lag, and events must have gaps, as those of real engines do.
func TestReportsAndEventsAreLateAndGappy(t *testing.T) {
	p := DefaultParameters()
	p.EventGapEvery = 3
	m := NewModel(p)
	now := time.Unix(0, 0)
	blocks := sharedBlocks(1, 400)
	if err := m.Submit(now, Attempt{ID: "a", Blocks: blocks, ContextTokens: 400 * prompt.BlockTokens, OutputTokens: 2}); err != nil {
		t.Fatal(err)
	}
	if r := m.Report(now); r.Queued != 0 || r.Age != p.ReportLag {
		t.Errorf("the report knows of a request that came just now: %+v", r)
	}
	if r := m.Report(now.Add(p.ReportLag)); r.Queued != 1 {
		t.Errorf("after its lag the report does not know of the request: %+v", r)
	}
	for {
		_, d := m.Step(now, nil)
		if d == 0 {
			break
		}
		now = now.Add(d)
	}
	if early := m.CacheEvents(0, time.Unix(0, 0).Add(p.EventLag-1)); len(early) != 0 {
		t.Errorf("%d events before their lag", len(early))
	}
	events := m.CacheEvents(0, now.Add(p.EventLag))
	if n := len(events); n == 0 || n >= len(blocks) {
		t.Errorf("%d events of %d blocks, want some but not all", n, len(blocks))
	}
}

// Reports must not show that an engine is slow, and as many starts must fail as the
// parameters ask for.
func TestFaultsOfAnEngine(t *testing.T) {
	honest, slow := DefaultParameters(), DefaultParameters()
	slow.Slowdown = 4
	took := func(p Parameters) (time.Duration, upstream.Report) {
		m := NewModel(p)
		now := time.Unix(0, 0)
		_ = m.Submit(now, Attempt{ID: "a", ContextTokens: 100, OutputTokens: 2})
		_, d := m.Step(now, nil)
		return d, m.Report(now.Add(time.Second))
	}
	fastStep, fastReport := took(honest)
	slowStep, slowReport := took(slow)
	if slowStep != 4*fastStep || slowReport != fastReport {
		t.Errorf("steps of %v and %v, reports %+v and %+v", fastStep, slowStep, fastReport, slowReport)
	}
	slow.FailingStarts = 2
	if _, ok := slow.StartResult(2); ok {
		t.Error("the second start succeeded, want two to fail")
	}
	if _, ok := slow.StartResult(3); !ok {
		t.Error("the third start failed, want two to fail")
	}
}

// Guards against short replies that wait behind long prompts because priorities are
// ignored in the queue or among the prefills of a step: urgent requests arrive while
// long prompts are queued or half prefilled.
func TestModelServesUrgentRequestsFirst(t *testing.T) {
	m := NewModel(smallParameters())
	now := time.Unix(0, 0)
	submit := func(tag, context int, priority int32) {
		w := Attempt{ID: ident.Request(strconv.Itoa(tag)), Tag: tag, Priority: priority, ContextTokens: context, OutputTokens: 1}
		if err := m.Submit(now, w); err != nil {
			t.Fatal(err)
		}
	}
	submit(1, 300, 1)
	submit(2, 300, 1)
	m.Step(now, nil)
	submit(3, 300, 1)
	submit(4, 90, 3)
	submit(5, 90, 3)
	var order []int
	for {
		tokens, d := m.Step(now, nil)
		if d == 0 {
			break
		}
		now = now.Add(d)
		for _, token := range tokens {
			order = append(order, token.Tag)
		}
	}
	if want := []int{4, 5, 1, 2, 3}; !slices.Equal(order, want) {
		t.Errorf("first tokens came in the order %v, want %v", order, want)
	}
}
