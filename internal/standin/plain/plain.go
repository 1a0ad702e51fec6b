// Package plain is an in-memory stand-in for a plain service. It counts its
// executions, so that a test notices a call that was executed twice.
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

// ErrConnectionLost is returned for a call with an injected connection failure; the
// call may have been executed.
var ErrConnectionLost = errors.New("connection to plain service lost")

// Options configure a Service.
type Options struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// ChecksFencing makes the service refuse a call whose fencing number is
	// below one that it has seen for the same key.
	ChecksFencing bool
	// FindsOutcomes makes Find return the outcome of a key; else it refuses.
	FindsOutcomes bool
}

// Failure is an injected failure of a call.
type Failure int

// The failures.
const (
	// NoFailure: the call is executed and answered.
	NoFailure Failure = 0
	// LostBeforeEffect: the connection is lost and the call is not executed.
	LostBeforeEffect Failure = 1
	// LostAfterEffect: the call is executed and the connection is lost before
	// the answer.
	LostAfterEffect Failure = 2
	// ApplicationError: the call is executed and answers with an error.
	ApplicationError Failure = 3
)

// Delays are how long a call takes before and after its effect.
type Delays struct {
	BeforeEffect time.Duration
	AfterEffect  time.Duration
}

// Service is an upstream.Plain in memory. It does not recognize a repeated call by
// its key: each accepted call is executed. It is safe for concurrent use.
type Service struct {
	options Options
	running inflight.Counter

	mu      sync.Mutex
	leaving bool
	delays  Delays
	// failures are those of the next calls.
	failures []Failure
	calls    map[string]*call
	// effects counts executions by key.
	effects map[string]int
}

// call is the state of a key.
type call struct {
	// fence is the highest fencing number seen with the key.
	fence ident.Fence
	state upstream.FindState
	// answer is that of the last execution.
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

// SetLeaving sets whether the service refuses new calls.
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

// Running returns the number of calls in flight.
func (s *Service) Running() int { return s.running.Running() }

// Drain refuses new calls and waits until those in flight have ended or ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	s.SetLeaving(true)
	return s.running.Wait(ctx)
}

// Invoke implements upstream.Plain. A call that was accepted is executed even if
// ctx ends.
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

// acceptance holds the failure and the delays of an accepted call.
type acceptance struct {
	failure Failure
	delays  Delays
}

// result is an executed call's answer or error.
type result struct {
	answer upstream.Answer
	err    error
}

// accept refuses a call or counts it as running.
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

// recordEffect counts an execution and stores its answer.
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

// forgetCall marks a running call as absent, since it ended without an effect.
func (s *Service) forgetCall(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.callOf(key); c.state == upstream.Running {
		c.state = upstream.Absent
	}
}

// callOf returns the state of a key, which it creates if needed. The caller holds
// s.mu.
func (s *Service) callOf(key string) *call {
	c, ok := s.calls[key]
	if !ok {
		c = &call{state: upstream.Absent}
		s.calls[key] = c
	}
	return c
}
