package quota

import (
	"slices"
	"time"
)

// rateAveragingTime is the time over which rates are averaged. It spans a few requests at each
// gateway and is short compared with a load spike of an account.
const rateAveragingTime = 2 * time.Second

// OtherGateways holds the other gateways' reports on one account.
type OtherGateways struct {
	// Known counts the gateways that may admit requests, without this one.
	Known int
	// Reports are the latest reports of the gateways that are heard. Each has a different Name.
	Reports []Report
}

// counts returns how many gateways are heard and how many may admit requests, both with this one.
func (o OtherGateways) counts() (heard, known int) {
	heard = 1
	for _, r := range o.Reports {
		heard += r.Gateways
	}
	return heard, max(o.Known+1, heard)
}

// recentMax is the largest of the values within knownPeriod.
type recentMax struct {
	value int
	at    time.Time
}

// add adds a value and returns the largest.
func (m *recentMax) add(v int, now time.Time) int {
	if v >= m.value || now.Sub(m.at) > knownPeriod {
		m.value, m.at = v, now
	}
	return m.value
}

// Report is the latest report on an account from another gateway, or the sum for a group of
// gateways.
type Report struct {
	// Name identifies the gateway or the group.
	Name string
	// Source is the process that added up the totals. Totals of different sources can't be
	// compared.
	Source string
	// Gateways is the number of gateways that the report covers.
	Gateways int
	// Spent and Refused are the admitted and the refused cost since the source started.
	Spent, Refused float64
	// Age is the time since the report was made.
	Age time.Duration
}

// rateMeter measures the rate per second at which a total grows.
type rateMeter struct {
	last float64
	rate float64
	at   time.Time
	// known is set once two totals were compared.
	known bool
}

// update records a total and returns its rate per second.
func (r *rateMeter) update(total float64, now time.Time) float64 {
	if r.at.IsZero() {
		r.last, r.at = total, now
		return 0
	}
	elapsed := now.Sub(r.at)
	if elapsed < rateAveragingTime/10 {
		return r.rate
	}
	weight := min(1, elapsed.Seconds()/rateAveragingTime.Seconds())
	if !r.known {
		// The first measurement is taken as it is. Averaged with the initial zero, the rate would
		// be too low for seconds.
		r.known, weight = true, 1
	}
	r.rate += weight * ((total-r.last)/elapsed.Seconds() - r.rate)
	r.last, r.at = total, now
	return r.rate
}

// groupDemand is what callers request of an account at another gateway or a group of gateways.
type groupDemand struct {
	source string
	meter  rateMeter
}

// demandMeter measures what callers request of an account at all gateways. It decides nothing: it
// explains decisions in the log.
type demandMeter struct {
	own    rateMeter
	groups map[string]*groupDemand
}

// update returns the cost requested per second at all gateways that are heard.
func (d *demandMeter) update(ownTotal float64, reports []Report, now time.Time) float64 {
	sum := d.own.update(ownTotal, now)
	for i := range reports {
		r := &reports[i]
		total, at := r.Spent+r.Refused, now.Add(-r.Age)
		g := d.groups[r.Name]
		if g == nil {
			g = &groupDemand{source: r.Source}
			d.groups[r.Name] = g
		}
		if g.source != r.Source {
			g.source, g.meter.last, g.meter.at = r.Source, total, at
		}
		if at.After(g.meter.at) {
			g.meter.update(total, at)
		}
		sum += g.meter.rate
	}
	if len(d.groups) > len(reports) {
		for name := range d.groups {
			if !slices.ContainsFunc(reports, func(r Report) bool { return r.Name == name }) {
				delete(d.groups, name)
			}
		}
	}
	return sum
}
