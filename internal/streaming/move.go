package streaming

import (
	"context"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// moved is a target with the KV cache that came to it.
type moved struct {
	target Target
	// imported is how many tokens of cache arrived.
	imported int
}

// release gives a target back that no attempt will use.
func (m *moved) release() {
	if m != nil {
		m.target.release(Result{Unused: true})
	}
}

// moveEnd is how a move ended.
type moveEnd struct {
	moved *moved
	// err is set when there is no target.
	err error
}

// after returns how the attempt ends once the move is over: at the new target,
// or if there is none as it had been lost meanwhile. An end without a next
// cause says that the attempt goes on.
func (m moveEnd) after(lost attemptEnd) attemptEnd {
	if m.err != nil {
		return lost
	}
	if m.moved.imported > 0 {
		return attemptEnd{next: CauseMoved, moved: m.moved}
	}
	return attemptEnd{next: CauseNotice, moved: m.moved}
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

// startMove captures what a move needs, since it runs beside the attempt.
func (a *attempt) startMove() move {
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
func (m move) run(ctx context.Context, arrived chan<- moveEnd) {
	end := m.do(ctx)
	select {
	case arrived <- end:
	case <-ctx.Done():
		if end.err == nil {
			end.moved.release()
		}
	}
}

// do picks the new target and carries the cache there. A cache that cannot be
// carried still leaves a target to resume at.
func (m move) do(ctx context.Context) moveEnd {
	target, err := m.picker.Pick(ctx, m.pick)
	if err != nil {
		return moveEnd{err: err}
	}
	return moveEnd{moved: &moved{target: target, imported: m.carry(ctx, target)}}
}

// carry returns how many tokens of cache reached the target.
func (m move) carry(ctx context.Context, to Target) int {
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
