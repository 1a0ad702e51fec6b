package entry

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lending"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// refreshKeepers updates which gateways keep the pools of accounts and of the retry budget, and upstreams' slots.
func (p *Process) refreshKeepers(v *peerView, now time.Time) {
	if !p.lends.Load() && p.mayLend(now) {
		p.lends.Store(true)
	}
	lends := p.lends.Load() && !p.leaving.Load()
	contacts := p.gossip.Keepers(lends, v.SilentDomains, now)
	keepers := lending.NewKeepers(contacts)
	p.lending.SetKeepers(keepers)
	p.retryLending.SetKeepers(keepers)
	p.refreshSlots(contacts)
}

// keeperStartPeriod is how long after its start a gateway keeps no pools if others keep them. Some
// gateways may not have noticed yet that its former process ended, others that it is back.
const keeperStartPeriod = 2 * time.Second

// mayLend reports whether this gateway may begin to keep accounts' pools.
func (p *Process) mayLend(now time.Time) bool {
	if now.Sub(p.started) >= keeperStartPeriod {
		return true
	}
	return p.countsGateways(now) && !p.gossip.HearsLender(now)
}

// countsGateways reports whether this gateway knows how many gateways there are.
func (p *Process) countsGateways(now time.Time) bool {
	return p.gatewaysBeforeStart.Load() > 0 || now.Sub(p.started) >= quota.StartupPeriod
}

// loanNetwork implements lending.Network.
type loanNetwork struct {
	*gossip.Gossip
	pool *httpconn.Pool
}

// Refuses implements lending.Network.
func (n loanNetwork) Refuses(ctx context.Context, keeper gossip.Contact) bool {
	return n.pool.Refuses(ctx, httpconn.Target{ID: ident.Instance(keeper.Address), Address: keeper.Address}, false)
}

// accountLimit returns the limit of an account, or nil if it isn't configured.
func (p *Process) accountLimit(name ident.ClientAccount) *routetable.Account {
	if table := p.table(); table != nil {
		return table.Account(name)
	}
	return nil
}

// writeLendingMetrics prints the counters of loans between gateways.
func (p *Process) writeLendingMetrics(w io.Writer) {
	c := p.lending.Counters()
	fmt.Fprintf(w, "quota_loans_asked_total %d\nquota_loans_failed_total %d\nquota_loans_answered_total %d\nquota_loans_relayed_total %d\n",
		c.Asked, c.Failed, c.Answered, c.Relayed)
}
