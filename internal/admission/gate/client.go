package gate

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
)

// client is the state of one client account at the gate.
type client struct {
	quota  *quota.Account
	weight float64
	// demand is how many slots the account asked for when the reserves were
	// last computed.
	demand float64
	// limitTurns books turns for requests refused because of the account's
	// limits.
	limitTurns retryafter.Schedule
	// usages has one element per priority. It is searched linearly since there
	// are few classes.
	usages []*priorityUsage
}

// priorityUsage is one account's use of one priority.
type priorityUsage struct {
	priority int
	inFlight int
	// firstAttempts and retries measure the cost per second that is offered.
	firstAttempts, retries rateMeter
	// overloadTurns books turns for requests refused because of load.
	overloadTurns retryafter.Schedule
}

// clientFor returns the client of a request's account, which it creates if there
// is none, and applies the request's limits to it.
func (g *Gate) clientFor(r *Request, now time.Time) *client {
	c := g.clients[r.Account]
	if c == nil {
		c = &client{quota: quota.NewAccount(r.Limit, now)}
		g.clients[r.Account] = c
		g.clientList = append(g.clientList, c)
	}
	c.quota.SetLimit(r.Limit, now)
	c.weight = r.Limit.Share
	if c.weight <= 0 {
		c.weight = 1
	}
	return c
}

// usageOf returns the account's usage of a priority and creates it if there is
// none.
func (c *client) usageOf(priority int) *priorityUsage {
	for _, u := range c.usages {
		if u.priority == priority {
			return u
		}
	}
	u := &priorityUsage{priority: priority}
	c.usages = append(c.usages, u)
	return u
}

// recordOffer adds an offered entry's cost to the measured rates.
func (g *Gate) recordOffer(now time.Time, u *priorityUsage, e *Entry) {
	if !e.Request.isRetry() {
		u.firstAttempts.add(now, e.Item.Cost)
		return
	}
	u.retries.add(now, e.Item.Cost)
	g.bands.forPriority(u.priority).retries.add(now, e.Item.Cost)
}
