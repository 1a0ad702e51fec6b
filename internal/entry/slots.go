package entry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/slotlease"
)

// slotsPath is the URL path of messages about slots, on the gateways' own listener.
const slotsPath = "/slots"

// slotNetwork implements slotlease.Network.
type slotNetwork struct{ pool *httpconn.Pool }

// SendSlots implements slotlease.Network.
func (n slotNetwork) SendSlots(ctx context.Context, keeper gossip.Contact, message []byte) ([]byte, error) {
	return gossip.HTTPNetwork{Pool: n.pool, Path: slotsPath}.Send(ctx, keeper.Address, message)
}

// slotMessages returns what serves the other gateways' messages about slots.
func (p *Process) slotMessages() map[string]gossip.MessageServer {
	return map[string]gossip.MessageServer{
		slotsPath: func(ctx context.Context, message []byte) ([]byte, error) { return p.slotServer.Serve(ctx, message) },
	}
}

// messages returns what serves the other gateways' messages besides the reports, by URL path.
func (p *Process) messages() map[string]gossip.MessageServer {
	all := p.originMessages()
	maps.Copy(all, p.slotMessages())
	maps.Copy(all, p.retryMessages())
	return all
}

// slotPlacement implements slotlease.Placement. What leases don't need goes through the room, so that it notices
// when places become free.
type slotPlacement struct {
	forward.Placement
	chooser *placement.Chooser
}

// ChooseOne implements slotlease.Placement.
func (s slotPlacement) ChooseOne(call *forward.Call, id ident.Instance, now time.Time) (forward.Choice, bool) {
	return s.chooser.ChooseOne(call, id, now)
}

// Barred implements slotlease.Placement.
func (s slotPlacement) Barred(call *forward.Call, exclude []ident.Instance, now time.Time) (barred []ident.Instance, others bool) {
	return s.chooser.Barred(call, exclude, now)
}

// SharedSlots implements slotlease.Placement.
func (s slotPlacement) SharedSlots(service *routetable.Service) []directory.Upstream {
	return s.chooser.SharedSlots(service)
}

// MeanWork implements slotlease.Placement.
func (s slotPlacement) MeanWork(service ident.Service) time.Duration {
	return s.chooser.MeanWork(service)
}

// wireSlots creates the parts that lease slots. Calls without a lease wait in the room.
func (p *Process) wireSlots() {
	log := p.log.Named("slots")
	p.slotServer = slotlease.NewServer(slotlease.ServerConfig{
		Now: p.now, Log: log, View: func() *directory.View { return p.board.upstreams.Value() }, InProgress: p.requestsAt, Work: p.chooser.MeanWork, Keeps: p.keepsSlots,
		KnowsAccount: func(account ident.ClientAccount) bool { return p.accountLimit(account) != nil },
	})
	p.slots = slotlease.NewClient(slotlease.ClientConfig{
		Self: p.settings.Instance.ID, Domain: p.settings.Instance.FailureDomain, Incarnation: p.incarnationID, Now: p.now, Log: log,
		Network: slotNetwork{p.pool}, Placement: slotPlacement{p.room, p.chooser}, Places: p.room, Standing: p.room.Standing, Server: p.slotServer,
	})
}

// requestsAt returns how many requests all gateways have at an upstream, as far as this one has heard.
func (p *Process) requestsAt(id ident.Instance) int {
	return p.view.Load().loadOf(id).Running + p.chooser.OwnLoads()[id].Running
}

// keepsSlots reports whether this gateway may keep slots for others.
func (p *Process) keepsSlots() bool { return p.lends.Load() && !p.leaving.Load() }

// refreshSlots applies the gateways that may keep slots, and the current upstreams.
func (p *Process) refreshSlots(keepers []gossip.Contact) {
	p.slots.SetKeepers(keepers)
	p.slotServer.Refresh()
}

// writeSlotMetrics prints the counters of leased slots.
func (p *Process) writeSlotMetrics(w io.Writer) {
	c, s := p.slots.Counters(), p.slotServer.Counters()
	fmt.Fprintf(w, "slots_asked_total %d\nslots_granted_total %d\nslots_refused_total %d\nslots_unanswered_total %d\nslots_unusable_total %d\n"+
		"slots_returned_total %d\nslots_not_returned_total %d\nslots_bytes_total %d\nslots_held %d\n",
		c.Asked, c.Granted, c.Refused, c.Unanswered, c.Unusable, c.Returned, c.Lost, c.Bytes, c.Held)
	fmt.Fprintf(w, "slots_kept_parts %d\nslots_kept_leased %d\nslots_kept_waiting %d\nslots_kept_granted_total %d\nslots_kept_refused_total %d\n",
		s.Parts, s.Leases, s.Waiting, s.Granted, s.Refused)
}
