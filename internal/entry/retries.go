package entry

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lending"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/retryslack"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// retryLoansPath is the URL path of requests for retries out of the slack, on the gateways' own listener.
const retryLoansPath = "/retry-loans"

// wireRetries creates the retry budget.
func (p *Process) wireRetries() {
	s := &p.settings.Retries
	cfg := retry.FleetBudgetConfig{Ratio: s.Ratio, Slack: s.Slack, Window: s.Window}
	limiter := quota.NewLimiter(retryslack.Tolerance(cfg), p.otherGateways, p.now())
	p.retrySlack = retryslack.Slack{Config: cfg, Limiter: limiter}
	p.retryLending = lending.New(lending.Config{
		Self: p.settings.Instance.ID, Now: p.now, Log: p.log.Named("retries"), Network: retryLoanNetwork{loanNetwork{p.gossip, p.pool}}, Limiter: limiter, Account: p.slackLimit,
	})
	limiter.SetLender(p.retryLending)
	p.retries = retry.NewFleetBudget(cfg, p.retrySlack)
}

// otherGateways returns the other gateways as reports on an account of which they report nothing.
func (p *Process) otherGateways(_ ident.ClientAccount, now time.Time) quota.OtherGateways {
	return p.quotaReports("", now)
}

// slackLimit returns the slack of the service with a name, or nil if it isn't configured.
func (p *Process) slackLimit(name ident.ClientAccount) *routetable.Account {
	table := p.table()
	if table == nil || table.Service(ident.Service(name)) == nil {
		return nil
	}
	limit := retryslack.Limit(p.retrySlack.Config, ident.Service(name))
	return &limit
}

// refreshRetrySlack applies the other gateways' reports to the slack of all services.
func (p *Process) refreshRetrySlack(table *routetable.Table, now time.Time) {
	services := table.Services()
	limits := make([]routetable.Account, len(services))
	for i, service := range services {
		limits[i] = retryslack.Limit(p.retrySlack.Config, service.Name)
	}
	p.retrySlack.Limiter.ApplyReports(limits, now)
}

// retryLoanNetwork implements lending.Network.
type retryLoanNetwork struct{ loanNetwork }

// AskForLoan implements lending.Network.
func (n retryLoanNetwork) AskForLoan(ctx context.Context, keeper gossip.Contact, request []byte) ([]byte, error) {
	return gossip.HTTPNetwork{Pool: n.pool, Path: retryLoansPath}.Send(ctx, keeper.Address, request)
}

// retryMessages returns what serves the other gateways' requests for retries.
func (p *Process) retryMessages() map[string]gossip.MessageServer {
	return map[string]gossip.MessageServer{
		retryLoansPath: func(ctx context.Context, message []byte) ([]byte, error) {
			return p.retryLending.Serve(ctx, message)
		},
	}
}

// writeRetryMetrics prints the counters of the retry budget.
func (p *Process) writeRetryMetrics(w io.Writer) {
	c := p.retries.Counters()
	fmt.Fprintf(w, "retries_earned_total %d\nretries_from_slack_total %d\nretries_refused_total %d\n", c.Earned, c.Slack, c.Refused)
	l := p.retryLending.Counters()
	fmt.Fprintf(w, "retry_loans_asked_total %d\nretry_loans_failed_total %d\nretry_loans_answered_total %d\nretry_loans_relayed_total %d\n", l.Asked, l.Failed, l.Answered, l.Relayed)
}
