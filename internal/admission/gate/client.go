package gate

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/returntime"
)

// client is what the gate remembers of a client account.
type client struct {
	quota  *quota.Account
	weight float64
	// demand is how many slots the account asked for when the reserves were
	// last worked out.
	demand float64
	// limitTurns books turns of those refused for a limit.
	limitTurns returntime.Schedule
	// usages are by priority; classes are few.
	usages []*priorityUsage
}

// priorityUsage is one account's use of one priority.
type priorityUsage struct {
	priority int
	inFlight int
	// firstAttempts is the cost a second of first tries, returns of those that
	// come back.
	firstAttempts, retries rateMeter
	// overloadTurns books turns of those refused for load.
	overloadTurns returntime.Schedule
}

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

// usageOf finds or creates the account's use of a priority.
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

// recordOffer measures what is asked for.
func (g *Gate) recordOffer(now time.Time, u *priorityUsage, e *Entry) {
	if !e.Request.isRetry() {
		u.firstAttempts.add(now, e.Item.Cost)
		return
	}
	u.retries.add(now, e.Item.Cost)
	g.bands.forPriority(u.priority).retries.add(now, e.Item.Cost)
}
