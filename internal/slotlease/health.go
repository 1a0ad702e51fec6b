package slotlease

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// silencePause is how long a gateway that didn't answer is not asked again.
const silencePause = 250 * time.Millisecond

// health tells which keepers answer. It is safe for concurrent use.
type health struct {
	now boottime.Clock
	log hclog.Logger

	mu sync.Mutex
	// failing are the keepers that didn't answer the last ask.
	failing map[ident.Instance]*failure
}

// failure is a keeper that didn't answer. It is tried again by one ask at a time, so that no more calls wait in
// vain for one that is frozen.
type failure struct {
	pausedUntil time.Time
	trying      bool
}

func newHealth(now boottime.Clock, log hclog.Logger) *health {
	return &health{now: now, log: log, failing: make(map[ident.Instance]*failure)}
}

// begin reports whether a keeper may be asked. If so, ended or abandoned must be called.
func (h *health) begin(keeper ident.Instance) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.failing[keeper]
	if f == nil {
		return true
	}
	if f.trying || h.now().Before(f.pausedUntil) {
		return false
	}
	f.trying = true
	return true
}

// ended records whether a keeper answered.
func (h *health) ended(keeper ident.Instance, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		if h.failing[keeper] != nil {
			h.log.Info("gateway that keeps slots answers again", "keeper", keeper)
		}
		delete(h.failing, keeper)
		return
	}
	if h.failing[keeper] == nil {
		h.log.Info("gateway that keeps slots doesn't answer, calls are placed without it", "keeper", keeper, "error", err)
	}
	h.failing[keeper] = &failure{pausedUntil: h.now().Add(silencePause)}
}

// abandoned records that a call ended before its ask was answered, which says nothing about the keeper.
func (h *health) abandoned(keeper ident.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.failing[keeper]; f != nil {
		f.trying = false
	}
}

// keep forgets the keepers that are not among the given ones.
func (h *health) keep(isKeeper func(ident.Instance) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for keeper := range h.failing {
		if !isKeeper(keeper) {
			delete(h.failing, keeper)
		}
	}
}
