package streaming

import (
	"context"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// preparedTarget is a target with the KV cache that came to it.
type preparedTarget struct {
	target Target
	// imported is how many tokens of cache arrived.
	imported int
}

// release gives a target back that no attempt will use.
func (m *preparedTarget) release() {
	if m != nil {
		m.target.release(Result{Unused: true})
	}
}

// moveResult is how a move ended.
type moveResult struct {
	prepared *preparedTarget
	// err is set when there is no target.
	err error
}

// attemptEnd returns how the attempt ends once the move is over: at the new target,
// or if there is none as it had been lost meanwhile. An end without a next
// cause says that the attempt goes on.
func (m moveResult) attemptEnd(lost attemptEnd) attemptEnd {
	if m.err != nil {
		return lost
	}
	if m.prepared.imported > 0 {
		return attemptEnd{nextCause: CauseMoved, prepared: m.prepared}
	}
	return attemptEnd{nextCause: CauseNotice, prepared: m.prepared}
}

// move brings the KV cache of a leaving upstream to another one. Meanwhile the
// stream goes on at the old one; the few tokens that it still brings are not
// in the cache and have to be prefilled at the new one.
type move struct {
	picker Picker
	pick   PickRequest
	from   Target
	id     ident.Request
	// slots bound the KV caches that this process holds in memory.
	slots chan struct{}
}

// newMove captures what a move needs, since it runs beside the attempt.
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

// run moves the cache and tells on arrived how it ended. When ctx ends first,
// nobody waits for it any more and the new target is given back.
func (m move) run(ctx context.Context, arrived chan<- moveResult) {
	end := m.pickAndTransfer(ctx)
	select {
	case arrived <- end:
	case <-ctx.Done():
		if end.err == nil {
			end.prepared.release()
		}
	}
}

// pickAndTransfer picks the new target and carries the cache there. A cache that cannot be
// carried still leaves a target to resume at.
func (m move) pickAndTransfer(ctx context.Context) moveResult {
	target, err := m.picker.Pick(ctx, m.pick)
	if err != nil {
		return moveResult{err: err}
	}
	return moveResult{prepared: &preparedTarget{target: target, imported: m.transferCache(ctx, target)}}
}

// transferCache returns how many tokens of cache reached the target.
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
