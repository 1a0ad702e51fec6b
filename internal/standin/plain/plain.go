// Package plain is an in-memory stand-in for a plain service. It counts what
// it executed, so that a test sees a call that ran twice.
package plain

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/inflight"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// ErrConnectionLost is what a caller hears of an injected failure; the call
// may have run.
var ErrConnectionLost = errors.New("connection to plain service lost")

// Options are what a Service is and can be trusted with.
type Options struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// ChecksFencing makes it refuse a call whose fencing number is below one
	// that it has seen for the same key.
	ChecksFencing bool
	// FindsOutcomes lets Find tell the outcome of a key.
	FindsOutcomes bool
}

// Failure says how a call goes wrong.
type Failure int

// The failures.
const (
	// NoFailure: the call is executed and answered.
	NoFailure Failure = 0
	// LostBeforeEffect: the connection is lost, the call is not executed.
	LostBeforeEffect Failure = 1
	// LostAfterEffect: the call is executed and the answer is lost.
	LostAfterEffect Failure = 2
	// ApplicationError: the call is executed and answers with an error.
	ApplicationError Failure = 3
)

// Delays say how long a call takes before and after its effect.
type Delays struct {
	BeforeEffect time.Duration
	AfterEffect  time.Duration
}

// Service is an upstream.Plain in memory. It never recognizes a repeated call
// by its key: each call that arrives has an effect.
type Service struct {
	options Options
	running inflight.Counter

	mu       sync.Mutex
	leaving  bool
	delays   Delays
	failures []Failure
	calls    map[string]*call
	effects  map[string]int
}

// call is what the service knows of a key.
type call struct {
	fence  ident.Fence
	state  upstream.FindState
	answer upstream.Answer
}

var _ upstream.Plain = (*Service)(nil)

// New returns a service that executes every call at once.
func New(options Options) *Service {
	return &Service{
		options: options,
		calls:   make(map[string]*call),
		effects: make(map[string]int),
	}
}

// SetLeaving makes the service refuse new calls, or ends that.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetDelays sets how long calls take from now on.
func (s *Service) SetDelays(delays Delays) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = delays
}

// FailNext queues failures for the next calls.
func (s *Service) FailNext(failures ...Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, failures...)
}

// Effects returns how often calls with a key were executed.
func (s *Service) Effects(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[key]
}

// AllEffects returns how often calls were executed, by key.
func (s *Service) AllEffects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects)
}

// Running returns how many calls run.
func (s *Service) Running() int { return s.running.Running() }

// Drain refuses new calls and waits until those that run have ended.
func (s *Service) Drain(ctx context.Context) error {
	s.SetLeaving(true)
	return s.running.Wait(ctx)
}

// Invoke implements upstream.Plain. A call that was taken in is executed even
// if its caller gives up.
func (s *Service) Invoke(ctx context.Context, req upstream.InvokeRequest) (upstream.Answer, error) {
	if err := ctx.Err(); err != nil {
		return upstream.Answer{}, errors.Join(upstream.ErrNotSent, err)
	}
	accepted, err := s.accept(req)
	if err != nil {
		return upstream.Answer{}, err
	}
	done := make(chan result, 1)
	go func() { done <- s.execute(req, accepted) }()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return upstream.Answer{}, ctx.Err()
	}
}

// Find implements upstream.Plain.
func (s *Service) Find(ctx context.Context, key string, fence ident.Fence) (upstream.FindResult, error) {
	if err := ctx.Err(); err != nil {
		return upstream.FindResult{}, err
	}
	if !s.options.FindsOutcomes {
		return upstream.FindResult{}, upstream.ErrRefused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callOf(key)
	if s.options.ChecksFencing {
		c.fence = max(c.fence, fence)
	}
	return upstream.FindResult{
		State:  c.state,
		Answer: c.answer,
		Fenced: s.options.ChecksFencing,

		Incarnation: s.options.Incarnation,
	}, nil
}

// Health implements upstream.Plain.
func (s *Service) Health(ctx context.Context) (upstream.Health, error) {
	if err := ctx.Err(); err != nil {
		return upstream.Health{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return upstream.Health{
		Instance:    s.options.Instance,
		Incarnation: s.options.Incarnation,
		Leaving:     s.leaving,
		Running:     s.running.Running(),
	}, nil
}

// acceptance is what was decided about a call when it came in.
type acceptance struct {
	failure Failure
	delays  Delays
}

// result is how a call ended.
type result struct {
	answer upstream.Answer
	err    error
}

func (s *Service) accept(req upstream.InvokeRequest) (acceptance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return acceptance{}, upstream.ErrLeaving
	}
	if req.Incarnation != 0 && req.Incarnation != s.options.Incarnation {
		return acceptance{}, upstream.ErrRefused
	}
	if req.Key != "" {
		c := s.callOf(req.Key)
		if s.options.ChecksFencing && req.Fence < c.fence {
			return acceptance{}, upstream.ErrOldFence
		}
		c.fence = max(c.fence, req.Fence)
		if c.state == upstream.Absent {
			c.state = upstream.Running
		}
	}
	s.running.Begin()
	accepted := acceptance{delays: s.delays}
	if len(s.failures) > 0 {
		accepted.failure = s.failures[0]
		s.failures = s.failures[1:]
	}
	return accepted, nil
}

func (s *Service) execute(req upstream.InvokeRequest, accepted acceptance) result {
	defer s.running.End()
	time.Sleep(accepted.delays.BeforeEffect)
	if accepted.failure == LostBeforeEffect {
		s.forgetCall(req.Key)
		return result{err: ErrConnectionLost}
	}
	reply := upstream.Answer{
		Payload: answer.Reply(req.Method, req.Payload),
		Failed:  accepted.failure == ApplicationError,
	}
	s.recordEffect(req.Key, reply)
	time.Sleep(accepted.delays.AfterEffect)
	if accepted.failure == LostAfterEffect {
		return result{err: ErrConnectionLost}
	}
	return result{answer: reply}
}

// recordEffect records the one effect of a call.
func (s *Service) recordEffect(key string, reply upstream.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	if key == "" {
		return
	}
	c := s.callOf(key)
	c.state = upstream.Done
	c.answer = reply
}

// forgetCall drops a call that ended without an effect.
func (s *Service) forgetCall(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.callOf(key); c.state == upstream.Running {
		c.state = upstream.Absent
	}
}

// callOf is called with the lock held.
func (s *Service) callOf(key string) *call {
	c, ok := s.calls[key]
	if !ok {
		c = &call{state: upstream.Absent}
		s.calls[key] = c
	}
	return c
}
