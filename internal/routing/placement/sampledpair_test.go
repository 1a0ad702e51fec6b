package placement

import (
	"fmt"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Guards against a queue of twenty requests at one engine while others are idle: 200
// gateways each send one request on the same view of all loads, which is 0.3 s old,
// and all choose the upstream that was least loaded.
func TestGatewaysWithTheSameViewSpreadTheirRequests(t *testing.T) {
	const gateways, upstreams = 200, 40
	for _, part := range []uint64{0, 7} {
		chosen := make(map[ident.Instance]int)
		for i := range gateways {
			f := newFixture()
			var ids []string
			for n := range upstreams {
				ids = append(ids, fmt.Sprintf("%c%02d", 'a'+n%3, n))
			}
			f.setUpstreams(directory.Ready, ids...)
			for n, u := range f.view.Of("svc") {
				f.others[u.ID] = Load{Running: 1 + n%3, UnreadTokens: 500 * (1 + n%5)}
			}
			call := f.call(engine, part)
			call.ID = ident.Request(fmt.Sprint("request-", i))
			if part > 0 {
				// The home has a queue, so the call goes elsewhere.
				home := f.Chooser.homeOrderOf(call, f.view.Of("svc")).home
				f.others[f.view.Of("svc")[home].ID] = Load{Running: 8, UnreadTokens: 400_000}
			} else {
				call.PromptTokens = 1000
				call.Parts = []forward.PromptPart{{ID: uint64(i), Tokens: 1000}}
			}
			chosen[f.choose(t, call, forward.Done).Upstream]++
		}
		most := 0
		for _, n := range chosen {
			most = max(most, n)
		}
		if most > gateways/8 {
			t.Errorf("part %d: %d of %d requests at one upstream", part, most, gateways)
		}
	}
}
