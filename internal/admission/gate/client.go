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
	// limited books turns of those refused for a limit.
	limited returntime.Schedule
	// uses are by priority; classes are few.
	uses []*use
}

// use is one account's use of one priority.
type use struct {
	priority int
	inFlight int
	// offered is the cost a second of first tries, returns of those that
	// come back.
	offered, returns meter
	// overload books turns of those refused for load.
	overload returntime.Schedule
}

func (g *Gate) client(r *Request, now time.Time) *client {
	c := g.clients[r.Account]
	if c == nil {
		c = &client{quota: quota.NewAccount(r.Limit, now)}
		g.clients[r.Account] = c
		g.order = append(g.order, c)
	}
	c.quota.SetLimit(r.Limit, now)
	c.weight = r.Limit.Share
	if c.weight <= 0 {
		c.weight = 1
	}
	return c
}

// use finds or creates the account's use of a priority.
func (c *client) use(priority int) *use {
	for _, u := range c.uses {
		if u.priority == priority {
			return u
		}
	}
	u := &use{priority: priority}
	c.uses = append(c.uses, u)
	return u
}

// count measures what is asked for.
func (g *Gate) count(now time.Time, u *use, e *Entry) {
	if !e.Request.returning() {
		u.offered.add(now, e.Item.Cost)
		return
	}
	u.returns.add(now, e.Item.Cost)
	g.bands.of(u.priority).returns.add(now, e.Item.Cost)
}
