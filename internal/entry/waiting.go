package entry

import (
	"context"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

// wakeAtUpstreams offers places to waiting calls at each new view of the upstreams, until ctx ends.
func (p *Process) wakeAtUpstreams(ctx context.Context) {
	atEach(ctx, p.board.upstreams, p.room.WakeAll)
}

// wakeAtConfiguration applies each new configuration to the waiting calls, until ctx ends.
func (p *Process) wakeAtConfiguration(ctx context.Context) {
	atEach(ctx, p.board.table, p.room.Reconfigure)
}

// atEach calls f whenever a section has a newer value, until ctx ends.
func atEach[T any](ctx context.Context, section *blackboard.Section[T], f func()) {
	version := section.Load().Version
	for {
		snapshot, err := section.Wait(ctx, version)
		if err != nil {
			return // ctx has ended
		}
		version = snapshot.Version
		f()
	}
}
