// Package retryslack lends the slack of the retry budget: each service has a pool of retries that two gateways
// keep and all others borrow from, as they do for the limit of a client account.
package retryslack

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// usedShare is the fraction of the slack that is lent. The rest is for attempts that arrive later than
	// the budget covers: the kernel of a killed process may still deliver some.
	usedShare = 0.95
	// rateShare is the fraction of the lent slack that is refilled evenly over a window. The rest is divided
	// between the pools, and what refills them beyond that.
	rateShare = 0.4
)

// Tolerance returns how a quota.Limiter divides the slack.
func Tolerance(c retry.FleetBudgetConfig) quota.Tolerance {
	return quota.Tolerance{Window: c.SlackWindow(), Slack: (1 - rateShare) * usedShare * c.Slack}
}

// Limit returns the slack of a service as the limit of an account that has the service's name.
func Limit(c retry.FleetBudgetConfig, service ident.Service) routetable.Account {
	return routetable.Account{Name: ident.ClientAccount(service), Rate: rateShare * usedShare * c.Slack / c.SlackWindow().Seconds()}
}

// Slack takes retries out of pools. It implements retry.Slack.
type Slack struct {
	Config retry.FleetBudgetConfig
	// Limiter has the pools that this gateway keeps, and borrows from the others.
	Limiter *quota.Limiter
}

// Take implements retry.Slack.
func (s Slack) Take(service ident.Service, now time.Time) retry.SlackDecision {
	limit := Limit(s.Config, service)
	d := s.Limiter.Admit(&limit, 1, now)
	return retry.SlackDecision{OK: d.OK, RetryAfter: d.RetryAfter, Keeper: d.Keeper, Level: d.Level, Heard: d.Heard, Known: d.Known}
}
