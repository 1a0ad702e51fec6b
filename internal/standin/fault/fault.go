// Package fault makes a stand-in of a platform service fail on demand.
package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Loss says which part of a request is lost.
type Loss int

// The losses.
const (
	// None: the request and its answer arrive.
	None Loss = 0
	// BeforeEffect: the requester hears nothing and nothing took effect.
	BeforeEffect Loss = 1
	// AfterEffect: the request took effect and its answer is lost.
	AfterEffect Loss = 2
	// Late: the answer is lost and the request takes effect some time after
	// its requester has given up.
	Late Loss = 3
)

// Injector holds the faults of one stand-in. Its zero value injects none.
type Injector struct {
	mu            sync.Mutex
	outage        bool
	delay         time.Duration
	lateBy        time.Duration
	losses        []Loss
	outageChanged chan struct{}
}

// SetOutage makes every request fail with platform.ErrUnavailable, or ends
// that.
func (i *Injector) SetOutage(on bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.outage = on
	if i.outageChanged != nil {
		close(i.outageChanged)
		i.outageChanged = nil
	}
}

// SetDelay makes every request take at least d.
func (i *Injector) SetDelay(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = d
}

// SetLateness sets after which time a request lost with Late takes effect.
func (i *Injector) SetLateness(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lateBy = d
}

// LoseNext queues losses for the next requests that have an effect.
func (i *Injector) LoseNext(losses ...Loss) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.losses = append(i.losses, losses...)
}

// Begin delays a request. It returns platform.ErrUnavailable in an outage, or
// when the requester gives up while nothing has taken effect yet.
func (i *Injector) Begin(ctx context.Context) error {
	if err := sleep(ctx, i.currentDelay()); err != nil {
		return UnavailableError(err)
	}
	if i.OutageOn() {
		return platform.ErrUnavailable
	}
	return nil
}

// OutageOn reports whether an outage is on.
func (i *Injector) OutageOn() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outage
}

// OutageChanged returns a channel that is closed when an outage begins or ends.
func (i *Injector) OutageChanged() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.outageChanged == nil {
		i.outageChanged = make(chan struct{})
	}
	return i.outageChanged
}

// Run carries out a request with an effect, with the next queued loss. It
// returns platform.ErrAnswerLost when the answer is lost, else what effect
// returned.
func (i *Injector) Run(effect func() error) error {
	loss, late := i.nextLoss()
	switch loss {
	case BeforeEffect:
		return platform.ErrAnswerLost
	case AfterEffect:
		_ = effect()
		return platform.ErrAnswerLost
	case Late:
		time.AfterFunc(late, func() { _ = effect() })
		return platform.ErrAnswerLost
	}
	return effect()
}

func (i *Injector) nextLoss() (Loss, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.losses) == 0 {
		return None, 0
	}
	loss := i.losses[0]
	i.losses = i.losses[1:]
	return loss, i.lateBy
}

func (i *Injector) currentDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// UnavailableError returns the error of a request whose requester gave up before it took
// effect; cause is the context's error.
func UnavailableError(cause error) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// sleep waits for d, or returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
