// Package fault injects faults into the stand-ins of the platform's services.
package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// Loss is the injected loss of a request that has an effect, or of its answer.
type Loss int

// The losses.
const (
	// None: the request and its answer arrive.
	None Loss = 0
	// BeforeEffect: the request is lost and has no effect.
	BeforeEffect Loss = 1
	// AfterEffect: the request takes effect and its answer is lost.
	AfterEffect Loss = 2
	// Late: the answer is lost and the request takes effect some time later,
	// when its client may have given up.
	Late Loss = 3
)

// Injector holds the faults of one stand-in. Its zero value injects none. It is
// safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	outage bool
	delay  time.Duration
	lateBy time.Duration
	// losses are those of the next requests that have an effect.
	losses []Loss
	// outageChanged is closed when an outage begins or ends; nil while nobody
	// waits for it.
	outageChanged chan struct{}
}

// SetOutage begins or ends an outage, in which every request fails with
// platform.ErrUnavailable.
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

// SetLateness sets the time after which a request with the loss Late takes effect.
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

// Begin waits for the delay of a request. It returns platform.ErrUnavailable
// during an outage, or if ctx ends first; the request then has no effect.
func (i *Injector) Begin(ctx context.Context) error {
	if err := sleepContext(ctx, i.currentDelay()); err != nil {
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

// Run applies the effect of a request with the next queued loss. It returns
// platform.ErrAnswerLost if the request or its answer is lost, else effect's
// error.
func (i *Injector) Run(effect func() error) error {
	loss, lateBy := i.nextLoss()
	switch loss {
	case BeforeEffect:
		return platform.ErrAnswerLost
	case AfterEffect:
		_ = effect()
		return platform.ErrAnswerLost
	case Late:
		time.AfterFunc(lateBy, func() { _ = effect() })
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

// UnavailableError returns the error of a request whose context ended before it
// took effect; cause is the context's error.
func UnavailableError(cause error) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// sleepContext waits for d, or returns the context's error.
func sleepContext(ctx context.Context, d time.Duration) error {
	sleep.For(ctx, d)
	return ctx.Err()
}
