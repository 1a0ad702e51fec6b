package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// Each gateway of a domain asks its collector for the sum of all others several times a
// second. What goes wrong if the collector adds all reports up for each that asks: its work
// grows as the square of the gateways, and beyond some hundred of them its answers come late,
// the gateways turn to the next collector, and that one is late too. So the sum of all
// gateways is added up and encoded once for all that ask within sumFor, and each takes its
// own report out of it.

// sumFor is for how long a sum is given to all that ask: it makes what gateways know of each
// other older by half of that on average.
const sumFor = Interval / 16

// wholeSum is a sum for several that ask.
type wholeSum struct {
	// sum lacks the words about versions and crashing requests, and the uses of limits:
	// these are joined for each gateway that asks.
	sum Sum
	// encoded is what of it grows with the upstreams and accounts; err is set where that
	// cannot be encoded.
	encoded []byte
	err     error
	at      time.Time
	// counted are the reports in it, by gateway.
	counted map[ident.Instance]*collected
	words   wordsWithout
	uses    upstreamlimit.Uses
	// wallOff is what to add to this machine's time of day.
	wallOff time.Duration
}

// CollectorWork counts what a collector has done since its start.
type CollectorWork struct {
	// Reports were collected, and Sums added up from so many Parts: reports, and sums of
	// other domains.
	Reports, Sums, Parts int64
	// Refused are answers of collectors that held a report which is not known any more.
	Refused int64
}

// Work returns what this gateway has done as a collector.
func (g *Gossip) Work() CollectorWork {
	g.collector.mu.Lock()
	defer g.collector.mu.Unlock()
	work := g.collector.work
	work.Refused = g.uncounted.Load()
	return work
}

// fresh reports whether a sum can be given to a gateway now; it counts that gateway's
// present life.
func (w *wholeSum) fresh(asker *collected, now time.Time) bool {
	if w == nil || now.Sub(w.at) >= sumFor {
		return false
	}
	if asker == nil {
		return true
	}
	counted := w.counted[asker.report.Node]
	return counted != nil && counted.report.Incarnation == asker.report.Incarnation
}

// domainParts returns the sum of this domain's gateways in two parts, of which the second is
// encoded.
func (c *Collector) domainParts(now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.domainSum(now)
	return w.present("", now, wall), w.encoded, w.err
}

// Others returns the sum of all gateways but one, of all domains.
func (c *Collector) Others(asker ident.Instance, now, wall time.Time) Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.allSum(c.members[asker], now)
	s := w.present(asker, now, wall)
	s.add(w.sum.Loads, w.sum.Work, w.sum.Engines)
	s.addAccounts(w.sum.Accounts)
	if counted := w.counted[asker]; counted != nil {
		s.takeOut(&counted.report)
	}
	s.Counted = reportID{}
	return s
}

// othersParts returns the sum of all gateways with which of the asker's reports is in it, in
// two parts, of which the second is encoded.
func (c *Collector) othersParts(asker ident.Instance, now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.allSum(c.members[asker], now)
	return w.present(asker, now, wall), w.encoded, w.err
}

// present is what of a sum belongs to this instant and to the gateway that asks, and is not
// encoded before: without that one's words and uses. It has no name where nobody's are left
// out.
func (w *wholeSum) present(asker ident.Instance, now, wall time.Time) Sum {
	s := w.sum
	s.Loads, s.Accounts = make(map[UpstreamKey]placement.Load), make(map[ident.ClientAccount]Spending)
	s.Work, s.Engines = make(map[ident.Service]placement.Demand), make(map[ident.Service]enginemodel.Sums)
	age := now.Sub(w.at)
	s.Age += age
	s.TrueWallMillis = wall.Add(w.wallOff).UnixMilli()
	words := w.words.without(asker)
	s.Rollouts, s.Poison = words.rollouts.Aged(age), words.poison.Aged(age)
	s.LimitUses = maps.Clone(w.uses)
	if counted := w.counted[asker]; counted != nil {
		s.Counted = counted.report.id()
		s.LimitUses.Subtract(counted.report.LimitUses)
	}
	return s
}

// domainSum returns a sum of this domain's gateways that is young enough.
func (c *Collector) domainSum(now time.Time) *wholeSum {
	if c.domain.fresh(nil, now) {
		return c.domain
	}
	w := c.newSum(now)
	w.sum.Domain = c.self.Domain
	age := c.addMembers(w, now)
	w.sum.addAccounts(c.reported.sum)
	w.finish(age)
	c.domain = w
	return w
}

// allSum returns a sum of all gateways that is young enough, and counts the one that asks.
func (c *Collector) allSum(asker *collected, now time.Time) *wholeSum {
	if c.all.fresh(asker, now) {
		return c.all
	}
	w := c.newSum(now)
	age := c.addMembers(w, now)
	w.sum.addAccounts(c.reported.sum)
	w.sum.addAccounts(c.told.sum)
	for _, domain := range slices.Sorted(maps.Keys(c.domains)) {
		age += c.addDomain(w, domain, now)
	}
	w.finish(age)
	c.all = w
	return w
}

func (c *Collector) newSum(now time.Time) *wholeSum {
	c.seq++
	c.work.Sums++
	return &wholeSum{
		at: now, counted: make(map[ident.Instance]*collected), uses: make(upstreamlimit.Uses), wallOff: c.wallCorrection(now),
		sum: Sum{
			Source: c.life, Seq: c.seq, Loads: make(map[UpstreamKey]placement.Load), Accounts: make(map[ident.ClientAccount]Spending),
			Work: make(map[ident.Service]placement.Demand), Engines: make(map[ident.Service]enginemodel.Sums),
		},
	}
}

// addMembers adds this domain's gateways and returns the sum of their reports' ages.
func (c *Collector) addMembers(w *wholeSum, now time.Time) time.Duration {
	sum := time.Duration(0)
	for node, m := range c.members {
		age := now.Sub(m.at)
		if age <= KnownFor && (!m.report.Leaving || age <= leavingFor) {
			w.sum.Known++
		}
		if age > collectedFor {
			continue
		}
		c.work.Parts++
		w.counted[node] = m
		w.sum.Heard++
		sum += age
		w.sum.add(m.report.Loads, m.report.Work, m.report.Engines)
		w.uses.Add(m.report.LimitUses)
		w.words.add(node, m.report.Rollouts.Aged(age), m.report.Poison.Aged(age))
		if m.report.Holds {
			w.sum.Holders++
		}
		w.sum.GivenUp = max(w.sum.GivenUp, m.report.GivenUp)
	}
	return sum
}

// addDomain adds the sum that counts of another domain, and returns how old its gateways'
// reports are together.
func (c *Collector) addDomain(w *wholeSum, domain ident.FailureDomain, now time.Time) time.Duration {
	d := c.domains[domain]
	w.sum.Known += d.known(now)
	if d.silent(now) {
		w.sum.Silent = append(w.sum.Silent, domain)
	}
	chosen := d.choose(now)
	if chosen == nil {
		return 0
	}
	c.work.Parts++
	age := now.Sub(chosen.at)
	w.sum.Heard += chosen.sum.Heard
	w.sum.add(chosen.sum.Loads, chosen.sum.Work, chosen.sum.Engines)
	w.uses.Add(chosen.sum.LimitUses)
	w.words.add("", chosen.sum.Rollouts.Aged(age), chosen.sum.Poison.Aged(age))
	w.sum.Holders += chosen.sum.Holders
	w.sum.GivenUp = max(w.sum.GivenUp, chosen.sum.GivenUp)
	return time.Duration(chosen.sum.Heard) * (age + chosen.sum.Age)
}

// finish ends the adding up; age is that of all reports together.
func (w *wholeSum) finish(age time.Duration) {
	w.sum.Age = age / time.Duration(max(1, w.sum.Heard))
	w.words.finish()
	w.encoded, w.err = w.sum.encodeParts()
}

// wordsWithout joins words about versions and crashing requests of all gateways but any one.
// They cannot be taken out of a sum again, so that the sums of those before and after each
// gateway are kept.
type wordsWithout struct {
	nodes []ident.Instance
	words []joinedWords
	// before[i] joins all before i, and after[i] all from i on.
	before, after []joinedWords
}

type joinedWords struct {
	rollouts rollout.Words
	poison   poison.Words
}

func (w joinedWords) plus(o joinedWords) joinedWords {
	return joinedWords{w.rollouts.Plus(o.rollouts), w.poison.Plus(o.poison)}
}

// add adds a gateway's words, if it has any; another domain's have no name.
func (w *wordsWithout) add(node ident.Instance, r rollout.Words, p poison.Words) {
	if len(r) == 0 && p.Empty() {
		return
	}
	w.nodes, w.words = append(w.nodes, node), append(w.words, joinedWords{r, p})
}

func (w *wordsWithout) finish() {
	n := len(w.nodes)
	w.before, w.after = make([]joinedWords, n+1), make([]joinedWords, n+1)
	for i := range n {
		w.before[i+1] = w.before[i].plus(w.words[i])
	}
	for i := n - 1; i >= 0; i-- {
		w.after[i] = w.words[i].plus(w.after[i+1])
	}
}

// without returns the words of all but one; of all where it has no name or no words.
func (w *wordsWithout) without(node ident.Instance) joinedWords {
	i := slices.Index(w.nodes, node)
	if node == "" || i < 0 {
		return w.before[len(w.nodes)]
	}
	return w.before[i].plus(w.after[i+1])
}
