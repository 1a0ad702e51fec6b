package gateway

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/probing"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// tappedNotices reads notices for the instances controller and passes each one on to
// the streams that use the instance.
type tappedNotices struct {
	cloud instances.Notices
	board *noticeBoard
}

// Notices implements instances.Notices.
func (t *tappedNotices) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	// EndsIn counts from when the notice was read, at the earliest right after the
	// request was sent. Counting from before the request gives an end that is never too
	// late.
	requestedAt := time.Now()
	read, err := t.cloud.Notices(ctx, after)
	for _, n := range read {
		t.board.Record(n.Instance, n.Incarnation, requestedAt.Add(n.EndsIn))
	}
	return read, err
}

// controllerLoops returns, by name, the loops that keep the blackboard, the calls and
// admission up to date.
func (p *Process) controllerLoops() map[string]func(context.Context) error {
	listing := instances.New(instances.DefaultConfig(p.self.ID, p.self.Incarnation), instances.Deps{
		List:        p.platform,
		Notices:     &tappedNotices{cloud: p.platform, board: p.notices},
		Membership:  p.members,
		Log:         p.log.Named("instances"),
		OnOwnNotice: p.requestLeave,
	})
	probes := probing.New(probing.DefaultConfig(p.self.ID, p.self.FailureDomain), probing.Deps{
		Board:      p.board,
		Membership: p.members,
		Dialer:     p.dialer,
		Cache:      probing.NewCaches(cacheview.DefaultParams()),
		Log:        p.log.Named("probing"),
	})
	return map[string]func(context.Context) error{
		"membership":    p.members.Run,
		"configuration": p.documents.Run,
		"instances":     listing.Run,
		"probing":       probes.Run,
		"calls":         p.calls.Run,
		"admission":     p.followUpstreams,
	}
}

// followUpstreams keeps admission up to date about the upstreams and about the number
// of gateways that share the documents' limits.
func (p *Process) followUpstreams(ctx context.Context) error {
	for {
		upstreams := p.board.Upstreams.Load()
		members := p.board.Members.Load()
		live := countLiveGateways(members.Value)
		p.admission.SetGateways(live)
		for service, list := range upstreams.Value.ByService {
			p.admission.SetUpstreams(service, aliveIDs(list))
			p.admission.SetSlots(service, p.handler.router.serviceRouter(service).Slots(list, live, time.Now()))
		}
		select {
		case <-upstreams.Changed():
		case <-members.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func countLiveGateways(members *blackboard.Members) int {
	live := 0
	for _, m := range members.ByID {
		if m.Instance.Role == platform.RoleEntry && m.State == blackboard.Alive {
			live++
		}
	}
	return live
}

func aliveIDs(list []blackboard.Upstream) []ident.Instance {
	var ids []ident.Instance
	for _, u := range list {
		if u.State == blackboard.Alive {
			ids = append(ids, u.Instance.ID)
		}
	}
	return ids
}
