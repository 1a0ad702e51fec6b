package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Model is a model engine with continuous batching as a state machine. Its
// state depends only on the calls made and the times passed in; times must
// not go back. It is not safe for concurrent use.
type Model struct {
	params  Parameters
	cache   cache
	waiting []*stream
	running []*stream
	// prefilling is scratch space of prefill.
	prefilling []*stream
	byID       map[ident.Request]*stream
	// imported maps a request to the context tokens that came with a KV
	// import before the request itself.
	imported     map[ident.Request]int
	leaving      bool
	lastStepTime time.Duration
	// transferFreeAt is when the bandwidth of KV transfer is free again.
	transferFreeAt time.Time
	// waitingTokens is the sum of estimate over the waiting streams.
	waitingTokens int
	reports       reportLog
}

// stream is one attempt in the engine.
type stream struct {
	Work
	// sharedBlocks is how many of Blocks this stream uses in the cache.
	sharedBlocks int
	// privateBlocks is how many blocks it holds besides.
	privateBlocks int
	// computed counts the context tokens in memory.
	computed int
	// prefilled counts the context tokens that were computed here.
	prefilled int
	generated int
	// estimatedPrefill is the context tokens to compute, as seen on arrival.
	estimatedPrefill int
}

// NewModel returns an idle engine.
func NewModel(p Parameters) *Model {
	return &Model{
		params:       p,
		cache:        newCache(p),
		byID:         make(map[ident.Request]*stream),
		imported:     make(map[ident.Request]int),
		lastStepTime: p.StepBase,
		reports:      reportLog{lag: p.ReportLag},
	}
}

// Submit queues work. Errors: upstream.ErrLeaving; upstream.ErrRefused for
// work that can never fit into memory or is here already.
func (m *Model) Submit(now time.Time, w Work) error {
	if m.leaving {
		return upstream.ErrLeaving
	}
	if m.byID[w.ID] != nil || blocksFor(w.Context+w.Output) > m.params.MemoryBlocks {
		return upstream.ErrRefused
	}
	s := &stream{Work: w}
	s.computed = m.imported[w.ID]
	s.estimatedPrefill = w.Context - max(s.computed, m.cache.cachedPrefix(w.Blocks)*prompt.BlockTokens)
	m.waitingTokens += s.estimatedPrefill
	m.byID[w.ID] = s
	m.waiting = slices.Insert(m.waiting, m.queueIndex(w.Priority), s)
	m.recordLoad(now)
	return nil
}

// queueIndex returns where work of a priority joins the queue.
func (m *Model) queueIndex(priority int32) int {
	i := len(m.waiting)
	for i > 0 && m.waiting[i-1].Priority < priority {
		i--
	}
	return i
}

// Cancel ends a stream. Unknown IDs are ignored.
func (m *Model) Cancel(now time.Time, id ident.Request) {
	s := m.byID[id]
	if s == nil {
		return
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(o *stream) bool {
		if o == s {
			m.waitingTokens -= s.estimatedPrefill
		}
		return o == s
	})
	m.running = slices.DeleteFunc(m.running, func(o *stream) bool { return o == s })
	m.free(s)
	m.recordLoad(now)
}

// Step runs one step that begins now. It returns the tokens that come out at
// its end and its duration, or a duration of 0 if there is nothing to do.
// The tokens are appended to out.
func (m *Model) Step(now time.Time, out []Token) ([]Token, time.Duration) {
	m.admit(now)
	if len(m.running) == 0 {
		m.recordLoad(now)
		return out, 0
	}
	budget := m.params.StepTokens
	decoding := 0
	for _, s := range m.running {
		if s.computed >= s.Context {
			decoding++
		}
	}
	out = m.decode(out)
	prefill, out := m.prefill(now, budget-decoding, out)
	m.lastStepTime = m.params.stepTime(decoding, prefill)
	m.removeDone()
	d := time.Duration(float64(m.lastStepTime) * m.params.slowdown())
	m.recordLoad(now.Add(d))
	return out, d
}

// admit moves waiting work into the batch while there is room.
func (m *Model) admit(now time.Time) {
	n := 0
	for n < len(m.waiting) && len(m.running) < m.params.MaxRunning {
		if !m.allocate(now, m.waiting[n]) {
			break
		}
		m.running = append(m.running, m.waiting[n])
		m.waitingTokens -= m.waiting[n].estimatedPrefill
		n++
	}
	m.waiting = slices.Delete(m.waiting, 0, n)
}

// allocate reserves memory for a stream and takes over what is cached.
func (m *Model) allocate(now time.Time, s *stream) bool {
	hits := m.cache.cachedPrefix(s.Blocks)
	// The hits are taken into use first, or room would be made by evicting
	// just them.
	for _, h := range s.Blocks[:hits] {
		m.cache.acquire(h)
	}
	need := blocksFor(s.Context+s.Output) - hits
	if !m.cache.reserve(need, now) {
		m.cache.release(s.Blocks[:hits])
		return false
	}
	delete(m.imported, s.ID)
	s.sharedBlocks, s.privateBlocks = hits, need
	s.computed = max(s.computed, hits*prompt.BlockTokens)
	// The last token is always computed, since its output is needed.
	s.computed = min(s.computed, s.Context-1)
	m.shareBlocks(now, s)
	return true
}

// decode gives each stream whose context is complete its next token.
func (m *Model) decode(out []Token) []Token {
	for _, s := range m.running {
		if s.computed >= s.Context {
			out = append(out, s.nextToken())
		}
	}
	return out
}

// prefill spends the rest of the budget in order of priority and arrival.
func (m *Model) prefill(now time.Time, budget int, out []Token) (int, []Token) {
	m.prefilling = m.prefilling[:0]
	for _, s := range m.running {
		if s.computed < s.Context {
			m.prefilling = append(m.prefilling, s)
		}
	}
	slices.SortStableFunc(m.prefilling, func(a, b *stream) int { return cmp.Compare(b.Priority, a.Priority) })
	spent := 0
	for _, s := range m.prefilling {
		chunk := min(s.Context-s.computed, budget-spent)
		if chunk <= 0 {
			break
		}
		spent += chunk
		s.computed += chunk
		s.prefilled += chunk
		m.shareBlocks(now, s)
		if s.computed >= s.Context {
			out = append(out, s.nextToken())
		}
	}
	return spent, out
}

// shareBlocks makes the whole blocks that were computed available to others.
func (m *Model) shareBlocks(now time.Time, s *stream) {
	whole := min(s.computed/prompt.BlockTokens, len(s.Blocks))
	for s.sharedBlocks < whole {
		m.cache.store(s.Blocks[s.sharedBlocks], now)
		s.privateBlocks--
		s.sharedBlocks++
	}
}

// nextToken generates one token.
func (s *stream) nextToken() Token {
	t := Token{ID: s.ID, Tag: s.Tag, Index: s.generated}
	if s.generated == 0 {
		t.Prefilled = s.prefilled
	}
	s.generated++
	t.Done = s.generated >= s.Output
	return t
}

// removeDone removes the streams that are done.
func (m *Model) removeDone() {
	kept := m.running[:0]
	for _, s := range m.running {
		if s.generated < s.Output {
			kept = append(kept, s)
			continue
		}
		m.free(s)
	}
	clear(m.running[len(kept):])
	m.running = kept
}

// free gives a stream's memory back.
func (m *Model) free(s *stream) {
	m.cache.release(s.Blocks[:s.sharedBlocks])
	m.cache.privateBlocks -= s.privateBlocks
	s.sharedBlocks, s.privateBlocks = 0, 0
	delete(m.byID, s.ID)
}

// Leave makes the engine refuse new work from now on.
func (m *Model) Leave(now time.Time) {
	m.leaving = true
	m.recordLoad(now)
}

// Export returns the KV cache of a stream; false if nothing was computed.
func (m *Model) Export(id ident.Request) (Exported, bool) {
	s := m.byID[id]
	if s == nil || s.computed == 0 {
		return Exported{}, false
	}
	e := Exported{Blocks: slices.Clone(s.Blocks[:s.sharedBlocks]), Tokens: s.computed + s.generated}
	return e, true
}

// Import takes a KV cache for a request that will be submitted next.
func (m *Model) Import(id ident.Request, e Exported) {
	m.imported[id] = e.Tokens
}

// Transfer books the engine's bandwidth for so many tokens of KV cache, after
// what is booked already, and returns when from now the transfer is over.
func (m *Model) Transfer(now time.Time, tokens int) time.Duration {
	begin := now
	if m.transferFreeAt.After(begin) {
		begin = m.transferFreeAt
	}
	m.transferFreeAt = begin.Add(m.params.TransferTime(tokens))
	return m.transferFreeAt.Sub(now)
}

// Report returns the load as it was ReportLag ago.
func (m *Model) Report(now time.Time) upstream.Report {
	r := m.reports.laggedReport(now)
	r.Age = m.params.ReportLag
	r.PrefillRate = m.params.PrefillRate
	if r.Step == 0 {
		r.Step = m.params.StepBase
	}
	return r
}

// CacheEvents returns the readable cache events above a sequence number.
func (m *Model) CacheEvents(after uint64, now time.Time) []upstream.CacheEvent {
	return m.cache.events.readableAfter(after, now)
}

// Waiting returns how many requests are not in the batch yet.
func (m *Model) Waiting() int { return len(m.waiting) }

// SetSlowdown changes how much slower than reported the steps are.
func (m *Model) SetSlowdown(factor float64) { m.params.Slowdown = factor }

func blocksFor(tokens int) int {
	return (tokens + prompt.BlockTokens - 1) / prompt.BlockTokens
}
