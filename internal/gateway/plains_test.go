package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Guards against sound upstreams that are taken out of use because this gateway had no room for their answers.
func TestWhatCountsAgainstAnUpstream(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	for _, c := range []struct {
		ctx  context.Context
		err  error
		want bool
	}{
		{t.Context(), nil, false},
		{t.Context(), errors.New("broken off"), true},
		{t.Context(), fmt.Errorf("invoke: %w", answerbudget.ErrStalled), true},
		{t.Context(), fmt.Errorf("invoke: %w", answerbudget.ErrNoRoom), false},
		{t.Context(), fmt.Errorf("invoke: %w", upstream.ErrLeaving), false},
		{ended, errors.New("broken off"), false},
	} {
		if got := countsAgainstUpstream(c.ctx, c.err); got != c.want {
			t.Errorf("%v, %v: %v", c.ctx.Err(), c.err, got)
		}
	}
}
