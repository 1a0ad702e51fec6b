package streaming

import (
	"context"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// preparedTarget is a picked target, with the size of the KV cache that was
// moved to it.
type preparedTarget struct {
	target Target
	// imported is the number of cached tokens that reached the target.
	imported int
}

// release tells the picker that no attempt will use the target. It does nothing
// if p is nil.
func (p *preparedTarget) release() {
	if p != nil {
		p.target.release(Result{Unused: true})
	}
}

// moveResult is the result of a move: a target or an error.
type moveResult struct {
	prepared *preparedTarget
	// err is set if no target could be picked.
	err error
}

// attemptEnd returns how the attempt ends after the move: with the new target
// for the next attempt, or as lost says if no target could be picked. lost is how
// the stream ended during the move. An attemptEnd without a next cause means that
// the attempt goes on.
func (m moveResult) attemptEnd(lost attemptEnd) attemptEnd {
	if m.err != nil {
		return lost
	}
	if m.prepared.imported > 0 {
		return attemptEnd{nextCause: CauseMoved, prepared: m.prepared}
	}
	return attemptEnd{nextCause: CauseNotice, prepared: m.prepared}
}

// move transfers the KV cache of a leaving upstream to another one. Meanwhile
// the stream goes on at the old one; the few tokens that it still produces are
// not in the cache and must be prefilled at the new one.
type move struct {
	picker Picker
	pick   PickRequest
	from   Target
	id     ident.Request
	// slots bounds the KV caches that this process holds in memory.
	slots chan struct{}
}

// newMove copies what a move needs, since it runs concurrently with the
// attempt.
func (a *attempt) newMove() move {
	pick := a.run.pickRequest(CauseMoved)
	pick.Exclude = append(slices.Clone(pick.Exclude), a.target.Instance)
	return move{
		picker: a.run.runner.picker,
		pick:   pick,
		from:   a.target,
		id:     a.run.req.Key.engineID(),
		slots:  a.run.runner.moves,
	}
}

// run moves the cache and sends the result on done. If ctx ends first, the
// attempt no longer receives the result and run releases the new target.
func (m move) run(ctx context.Context, done chan<- moveResult) {
	result := m.pickAndTransfer(ctx)
	select {
	case done <- result:
	case <-ctx.Done():
		if result.err == nil {
			result.prepared.release()
		}
	}
}

// pickAndTransfer picks the new target and transfers the cache to it. If the
// transfer fails, the target can still be resumed at, without the cache.
func (m move) pickAndTransfer(ctx context.Context) moveResult {
	target, err := m.picker.Pick(ctx, m.pick)
	if err != nil {
		return moveResult{err: err}
	}
	return moveResult{prepared: &preparedTarget{target: target, imported: m.transferCache(ctx, target)}}
}

// transferCache returns the number of cached tokens that reached the target; 0
// if the transfer failed.
func (m move) transferCache(ctx context.Context, to Target) int {
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		return 0
	}
	defer func() { <-m.slots }()
	cache, err := m.from.Engine.ExportCache(ctx, m.id)
	if err != nil {
		return 0
	}
	imported, err := to.Engine.ImportCache(ctx, m.id, cache)
	if err != nil {
		return 0
	}
	return imported
}
