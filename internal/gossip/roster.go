package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// downFor is for how long a collector that did not answer is passed over: as long as a
// killed gateway takes to come back, and longer than its domain's next collector takes to
// leave it out of the roster.
const downFor = 2 * time.Second

// roster is what is known of a failure domain's gateways.
type roster struct {
	// gateways are in the order in which they collect.
	gateways []Contact
	digest   uint64
	// at is when it was last confirmed, and renewed when the gateways' contacts were.
	at, renewed time.Time
}

// rosterMost is how many of a failure domain's gateways stand in its roster: those that
// collect if the ones before them are lost. What goes wrong with all of them: whenever one
// of a thousand gateways starts or stops, the roster of its domain, which grows with the
// fleet, is told to all.
const rosterMost = 16

// renewEvery is how often the contacts of a roster's gateways are renewed as long as the
// roster stands: a part of the time after which they are given up.
const renewEvery = contactFor / 4

// compareCollectors orders gateways as they collect: those with most of a processor
// first, because collecting takes some hundredths of one, and among equals by a hash, so
// that one machine's name does not decide.
func compareCollectors(a, b Contact) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node))),
		cmp.Compare(a.Node, b.Node),
	)
}

func sortCollectors(gateways []Contact) { slices.SortFunc(gateways, compareCollectors) }

// digestOf is equal for equal rosters.
func digestOf(gateways []Contact) uint64 {
	digest := uint64(len(gateways))
	for _, c := range gateways {
		digest = digest*1099511628211 + xxhash.Sum64String(string(c.Node)+"\x00"+c.Address)
	}
	return digest
}

// TakeRoster takes in a failure domain's gateways by the word of its collector.
func (t *Table) TakeRoster(r Roster, now time.Time) {
	gateways := slices.Clone(r.Gateways)
	sortCollectors(gateways)
	t.mu.Lock()
	defer t.mu.Unlock()
	next := &roster{gateways: gateways, digest: digestOf(gateways), at: now}
	if known := t.rosters[r.Domain]; known != nil && known.digest == next.digest {
		next.renewed = known.renewed
	}
	t.rosters[r.Domain] = next
	t.renew(next, now)
}

// ConfirmRosters notes that another gateway holds the same rosters as this one, as far as
// it is believed.
func (t *Table) ConfirmRosters(digests map[ident.FailureDomain]uint64, believed func(ident.FailureDomain) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for domain, digest := range digests {
		if r := t.rosters[domain]; r != nil && r.digest == digest && believed(domain) {
			r.at = now
			t.renew(r, now)
		}
	}
}

// renew keeps the contacts of a roster's gateways.
func (t *Table) renew(r *roster, now time.Time) {
	if now.Sub(r.renewed) < renewEvery {
		return
	}
	r.renewed = now
	for _, c := range r.gateways {
		if c.Node != t.self.Node {
			t.addContact(c, now)
		}
	}
}

// Rosters returns the rosters that are known by a collector's word, and their digests.
func (t *Table) Rosters(now time.Time) ([]Roster, map[ident.FailureDomain]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Roster
	digests := make(map[ident.FailureDomain]uint64, len(t.rosters))
	for domain, r := range t.rosters {
		if now.Sub(r.at) <= KnownFor {
			out = append(out, Roster{Domain: domain, Gateways: r.gateways})
			digests[domain] = r.digest
		}
	}
	return out, digests
}

// Collectors returns the first of another failure domain's gateways, or of the others of
// this gateway's own, in the order in which they collect, without those that did not answer
// lately. They are tries at the most, because no more are asked: whoever looks several times
// a round must not sort a domain of hundreds each time.
func (t *Table) Collectors(domain ident.FailureDomain, now time.Time) []Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	var order []Contact
	if r := t.rosters[domain]; r != nil && now.Sub(r.at) <= KnownFor {
		order = t.firstOf(r.gateways, now)
	} else {
		all := t.contactsIn(domain, now)
		sortCollectors(all)
		order = t.firstOf(all, now)
	}
	if domain == t.self.Domain && (len(order) == 0 || compareCollectors(t.self, order[0]) < 0) {
		return t.firstBeside(order, now)
	}
	return order
}

// firstOf returns the first of gateways that are in order.
func (t *Table) firstOf(gateways []Contact, now time.Time) []Contact {
	order := make([]Contact, 0, tries)
	for _, c := range gateways {
		if len(order) == tries {
			break
		}
		if c.Node != t.self.Node && !now.Before(t.down[c.Address]) {
			order = append(order, c)
		}
	}
	return order
}

// firstBeside adds the gateways that the roster lacks where this one would collect by it.
// What goes wrong without it: of gateways that start together two each take themselves
// for the collector, gather some of the domain each, and hear nothing of each other. So
// the first of them tells the first of all others that it is there.
func (t *Table) firstBeside(order []Contact, now time.Time) []Contact {
	all := t.contactsIn(t.self.Domain, now)
	for _, c := range order {
		if !slices.ContainsFunc(all, func(other Contact) bool { return other.Node == c.Node }) {
			all = append(all, c)
		}
	}
	sortCollectors(all)
	return t.firstOf(all, now)
}

// contactsIn returns a failure domain's gateways by whatever word.
func (t *Table) contactsIn(domain ident.FailureDomain, now time.Time) []Contact {
	var all []Contact
	for _, c := range t.contacts {
		if c.Domain == domain && c.Node != "" && (c.until.IsZero() || now.Before(c.until)) {
			all = append(all, c.Contact)
		}
	}
	return all
}

// Down notes that a gateway did not answer.
func (t *Table) Down(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down[address] = now.Add(downFor)
	for other, until := range t.down {
		if now.After(until) {
			delete(t.down, other)
		}
	}
}

// Domains returns the failure domains in which gateways are known, sorted.
func (t *Table) Domains() []ident.FailureDomain {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []ident.FailureDomain{t.self.Domain}
	for domain := range t.rosters {
		out = append(out, domain)
	}
	for _, c := range t.contacts {
		if c.Domain != "" {
			out = append(out, c.Domain)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
