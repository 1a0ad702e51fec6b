package streaming

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// The test's expected answers. A token contains the hash of the prompt and of
// all tokens before it, so that it is valid in exactly one place of one answer.
// After the dot it names the engine that sampled it, so that two runs differ.

// nextHash returns the hash after one more token.
func nextHash(hash uint64, token string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s", hash, token)
	return h.Sum64()
}

// tokenAfter returns the token that sampler produces after the tokens with this
// hash.
func tokenAfter(hash uint64, sampler string) string { return fmt.Sprintf("%x.%s", hash, sampler) }

// answerHash returns the hash after a prompt and the tokens of an answer.
func answerHash(prompt string, answer []string) uint64 {
	hash := nextHash(0, prompt)
	for _, token := range answer {
		hash = nextHash(hash, token)
	}
	return hash
}

// checkTokens returns the hash after the tokens, or what is wrong with them.
func checkTokens(hash uint64, tokens []string) (uint64, string) {
	for i, token := range tokens {
		if !strings.HasPrefix(token, tokenAfter(hash, "")) {
			return hash, fmt.Sprintf("token %d of %d does not follow from those before", i, len(tokens))
		}
		hash = nextHash(hash, token)
	}
	return hash, ""
}

// frameDefect is a way in which a fake engine's frames are faulty.
type frameDefect int

const (
	defectNone frameDefect = iota
	defectDuplicate
	defectSwapped
	defectOldAttempt
	defectUnknownAttempt
	defectOverlap
	defectGap
	defectMismatch
	defectOverrun
	defectEarlyDone
	defectEarlyEOF
	defectCount
)

// noticeSender sends reclaim notices to the targets of an engine.
type noticeSender struct {
	instance  ident.Instance
	noticesMu sync.Mutex
	notices   []chan Notice
}

func (s *noticeSender) name() ident.Instance { return s.instance }

// watchNotice returns the notice channel of a new target.
func (s *noticeSender) watchNotice() <-chan Notice {
	s.noticesMu.Lock()
	defer s.noticesMu.Unlock()
	c := make(chan Notice, 1)
	s.notices = append(s.notices, c)
	return c
}

// announce tells every target that the instance will be reclaimed after the
// given time.
func (s *noticeSender) announce(left time.Duration) {
	s.noticesMu.Lock()
	defer s.noticesMu.Unlock()
	for _, c := range s.notices {
		c <- Notice{Deadline: time.Now().Add(left)}
	}
	s.notices = nil
}

// fakeEngine generates tokens under the test's control.
type fakeEngine struct {
	upstream.Engine
	noticeSender
	step time.Duration

	mu      sync.Mutex
	streams map[*fakeStream]struct{}
	cache   map[ident.Request][]string
	// started counts the attempts that ran, by request.
	started map[ident.Request]int
	// refuse, if set, is the error of Generate.
	refuse error
	// nextDefect is the defect of the next frame.
	nextDefect frameDefect
	// opened counts the attempts, refused ones included.
	opened int
	// exportFor is how long an export of the cache takes.
	exportFor time.Duration
}

func newFakeEngine(instance ident.Instance, step time.Duration) *fakeEngine {
	return &fakeEngine{
		noticeSender: noticeSender{instance: instance},
		step:         step,
		streams:      make(map[*fakeStream]struct{}),
		cache:        make(map[ident.Request][]string),
		started:      make(map[ident.Request]int),
	}
}

// fakeStream is one attempt at a fake engine.
type fakeStream struct {
	engine *fakeEngine
	ctx    context.Context
	req    upstream.GenerateRequest
	answer []string
	hash   uint64
	first  bool
	queued []upstream.Frame
	// closing lost ends the stream with an error; closing silent makes it block
	// until it is closed.
	lost, silent chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once
	prefilled    int
}

func (e *fakeEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened++
	if e.refuse != nil {
		return nil, e.refuse
	}
	e.started[req.Request]++
	s := &fakeStream{
		engine: e, ctx: ctx, req: req, first: true,
		answer: append([]string(nil), req.Delivered...),
		hash:   answerHash(req.Prompt, req.Delivered),
		lost:   make(chan struct{}), silent: make(chan struct{}), closed: make(chan struct{}),
		prefilled: prompt.Tokens(req.Prompt) + len(req.Delivered) - e.cached(req),
	}
	e.streams[s] = struct{}{}
	return s, nil
}

// cached returns how many tokens of the request's prompt and answer are in the
// cache.
func (e *fakeEngine) cached(req upstream.GenerateRequest) int {
	cached, ok := e.cache[req.Request]
	if !ok {
		return 0
	}
	n := 0
	for n < len(cached) && n < len(req.Delivered) && cached[n] == req.Delivered[n] {
		n++
	}
	return prompt.Tokens(req.Prompt) + n
}

func (s *fakeStream) Next() (upstream.Frame, error) {
	if len(s.queued) > 0 {
		f := s.queued[0]
		s.queued = s.queued[1:]
		return f, nil
	}
	if len(s.answer) >= int(s.req.MaxTokens) {
		return upstream.Frame{}, io.EOF
	}
	if err := s.wait(); err != nil {
		return upstream.Frame{}, err
	}
	return s.generate()
}

// wait returns after one step, or with an error when the stream has ended.
func (s *fakeStream) wait() error {
	select {
	case <-s.silent:
		select {
		case <-s.closed:
		case <-s.ctx.Done():
		}
		return errors.New("closed")
	default:
	}
	select {
	case <-time.After(s.engine.step):
		return nil
	case <-s.lost:
		return errors.New("connection reset")
	case <-s.silent:
		return s.wait()
	case <-s.closed:
		return errors.New("closed")
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// generate returns the next frame, with the next defect if there is one.
func (s *fakeStream) generate() (upstream.Frame, error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	defect := e.nextDefect
	e.nextDefect = defectNone
	index := uint32(len(s.answer))
	f := s.frame()
	switch defect {
	case defectDuplicate:
		s.queued = append(s.queued, f)
	case defectSwapped:
		if len(s.answer) < int(s.req.MaxTokens) {
			later := s.frame()
			s.queued = append(s.queued, f)
			return later, nil
		}
	case defectOldAttempt:
		s.queued = append(s.queued, f)
		return upstream.Frame{Attempt: s.req.Attempt - 1, Index: index, Tokens: []string{"old"}}, nil
	case defectUnknownAttempt:
		f.Attempt++
	case defectOverlap:
		if index > 0 {
			f.Index--
			f.Tokens = append([]string{s.answer[index-1]}, f.Tokens...)
		}
	case defectGap:
		f.Index++
	case defectMismatch:
		if index > 0 {
			f.Index--
			f.Tokens = append([]string{"other"}, f.Tokens...)
		}
	case defectOverrun:
		for len(f.Tokens)+int(f.Index) <= int(s.req.MaxTokens) {
			f.Tokens = append(f.Tokens, "more")
		}
	case defectEarlyDone:
		f.Done = true
	case defectEarlyEOF:
		return upstream.Frame{}, io.EOF
	}
	return f, nil
}

// frame generates one token and returns its frame.
func (s *fakeStream) frame() upstream.Frame {
	index := uint32(len(s.answer))
	token := tokenAfter(s.hash, string(s.engine.instance))
	s.answer = append(s.answer, token)
	s.hash = nextHash(s.hash, token)
	s.engine.cache[s.req.Request] = s.answer
	f := upstream.Frame{
		Attempt: s.req.Attempt,
		Index:   index,
		Tokens:  []string{token},
		Done:    len(s.answer) == int(s.req.MaxTokens),
	}
	if s.first {
		f.PrefilledTokens = uint32(s.prefilled)
		s.first = false
	}
	return f
}

func (s *fakeStream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	delete(s.engine.streams, s)
	return nil
}

// breakAll breaks every open stream: with an error, or by silence until the
// stream is closed.
func (e *fakeEngine) breakAll(silently bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.streams {
		if silently {
			close(s.silent)
		} else {
			close(s.lost)
		}
		delete(e.streams, s)
	}
}

// lose breaks every stream, drops the cache and refuses new streams, as after
// the reclaim of an instance.
func (e *fakeEngine) lose() {
	e.breakAll(false)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = make(map[ident.Request][]string)
	e.refuse = upstream.ErrNotSent
}

func (e *fakeEngine) setRefuse(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuse = err
}

func (e *fakeEngine) setNextDefect(d frameDefect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextDefect = d
}

func (e *fakeEngine) startedFor(key Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started[key.engineID()]
}

// open returns the number of open streams.
func (e *fakeEngine) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// giveNotice announces a reclaim to every target and refuses new streams.
func (e *fakeEngine) giveNotice(left time.Duration) {
	e.setRefuse(upstream.ErrLeaving)
	e.announce(left)
}

func (e *fakeEngine) ExportCache(ctx context.Context, id ident.Request) ([]byte, error) {
	select {
	case <-time.After(e.exportFor):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, ok := e.cache[id]
	if !ok {
		return nil, errors.New("not cached")
	}
	return json.Marshal(cached)
}

func (e *fakeEngine) ImportCache(_ context.Context, id ident.Request, cache []byte) (int, error) {
	var tokens []string
	if err := json.Unmarshal(cache, &tokens); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache[id] = tokens
	return len(tokens), nil
}
