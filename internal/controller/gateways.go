package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

const (
	// announcedPerDomain is how many gateways of each failure domain an
	// announcement is sent to. They pass it on as any other departure.
	announcedPerDomain = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// senderSuffix distinguishes a controller from the gateway beside it.
	// They share an instance, and a heartbeat of one must not be taken for
	// one of the other.
	senderSuffix = "/controller"
)

// gateways sends requests to gateways by the peers' protocol. It implements
// fleet.Gateways.
type gateways struct {
	self    settings.Instance
	pool    *peer.Pool
	listing *blackboard.Section[blackboard.Listing]
	epoch   uint64
}

func newGateways(self settings.Instance, pool *peer.Pool, listing *blackboard.Section[blackboard.Listing]) *gateways {
	return &gateways{self: self, pool: pool, listing: listing, epoch: rand.Uint64() | 1}
}

// AnnounceLeaving announces upstreams as leaving to some gateways of each
// failure domain, so that they get no new work. It returns an error if no
// gateway has acknowledged that.
func (g *gateways) AnnounceLeaving(ctx context.Context, upstreams []platform.Instance) error {
	request := g.request()
	for _, u := range upstreams {
		request.Members = append(request.Members, &peerv1.MemberEntry{
			InstanceId:    string(u.ID),
			Incarnation:   uint64(u.Incarnation),
			State:         peerv1.MemberState_MEMBER_STATE_LEAVING,
			FailureDomain: string(u.FailureDomain),
		})
	}
	acknowledged := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, address := range g.addresses() {
		group.Go(func() {
			if _, err := g.exchange(ctx, address, request); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acknowledged++
		})
	}
	group.Wait()
	if acknowledged == 0 {
		return errcode.New(errcode.Unavailable, "no gateway acknowledged the announcement")
	}
	return nil
}

// Leaving returns the instances that the first gateway that answers knows as
// leaving.
func (g *gateways) Leaving(ctx context.Context) (map[ident.Instance]ident.Incarnation, error) {
	request := g.request()
	request.Position.NeedsFull = true
	for _, address := range g.addresses() {
		response, err := g.exchange(ctx, address, request)
		if err != nil {
			continue
		}
		leaving := make(map[ident.Instance]ident.Incarnation)
		for _, member := range response.GetMembers() {
			if member.GetState() == peerv1.MemberState_MEMBER_STATE_LEAVING {
				leaving[ident.Instance(member.GetInstanceId())] = ident.Incarnation(member.GetIncarnation())
			}
		}
		return leaving, nil
	}
	return nil, errcode.New(errcode.Unavailable, "no gateway answered")
}

func (g *gateways) request() *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		From:          string(g.self.ID) + senderSuffix,
		Incarnation:   uint64(g.self.Incarnation),
		FailureDomain: string(g.self.FailureDomain),
		Position:      &peerv1.DigestPosition{Epoch: g.epoch},
	}
}

func (g *gateways) exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return g.pool.Exchange(ctx, address, request)
}

// addresses returns the peer addresses of some live gateways of each failure
// domain, those of this process's own domain first.
func (g *gateways) addresses() []string {
	var own, others []string
	chosen := make(map[ident.FailureDomain]int)
	for _, instance := range g.listing.Value().Instances {
		isGateway := instance.Role == platform.RoleEntry && instance.State == platform.Live && instance.PeerAddress != ""
		if !isGateway || chosen[instance.FailureDomain] >= announcedPerDomain {
			continue
		}
		chosen[instance.FailureDomain]++
		if instance.FailureDomain == g.self.FailureDomain {
			own = append(own, instance.PeerAddress)
			continue
		}
		others = append(others, instance.PeerAddress)
	}
	return append(own, others...)
}
