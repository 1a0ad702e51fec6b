package answerbudget

import (
	"context"
	"sync"
)

// Holder keeps the shares of answers that were read for one request of a caller, until that request has been answered.
// It is safe for concurrent use.
type Holder struct {
	mu     sync.Mutex
	shares []*Share
	ended  bool
}

// holderKey is the context key of a request's Holder.
type holderKey struct{}

// WithHolder returns a context in which answers are read for a caller's request, and its Holder.
func WithHolder(ctx context.Context) (context.Context, *Holder) {
	holder := &Holder{}
	return context.WithValue(ctx, holderKey{}, holder), holder
}

// HolderOf returns the Holder of a context, or nil.
func HolderOf(ctx context.Context) *Holder {
	holder, _ := ctx.Value(holderKey{}).(*Holder)
	return holder
}

// Keep ends a share when the caller's request has been answered: at once if it has been, or if there is no such request.
func (h *Holder) Keep(s *Share) {
	if h == nil {
		s.End()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		s.End()
		return
	}
	h.shares = append(h.shares, s)
}

// End ends all shares that are kept.
func (h *Holder) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	for _, s := range h.shares {
		s.End()
	}
	h.shares = nil
}
