package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// unreachableFor is for how long a collector that did not answer is passed over: as long as a
// killed gateway takes to come back, and longer than its domain's next collector takes to
// leave it out of the roster.
const unreachableFor = 2 * time.Second

// roster is what is known of a failure domain's gateways.
type roster struct {
	// gateways are in the order in which they collect.
	gateways []Contact
	digest   uint64
	// confirmedAt is when it was last confirmed, and renewed when the gateways' contacts were.
	confirmedAt, contactsRenewedAt time.Time
}

// maxRosterGateways is how many of a failure domain's gateways stand in its roster: those that
// collect if the ones before them are lost. What goes wrong with all of them: whenever one
// of a thousand gateways starts or stops, the roster of its domain, which grows with the
// fleet, is told to all.
const maxRosterGateways = 16

// contactRenewal is how often the contacts of a roster's gateways are renewed as long as the
// roster stands: a part of the time after which they are given up.
const contactRenewal = contactTTL / 4

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

// rosterDigest is equal for equal rosters.
func rosterDigest(gateways []Contact) uint64 {
	digest := uint64(len(gateways))
	for _, c := range gateways {
		digest = digest*1099511628211 + xxhash.Sum64String(string(c.Node)+"\x00"+c.Address)
	}
	return digest
}

// SetRoster takes in a failure domain's gateways by the word of its collector.
func (t *Table) SetRoster(r Roster, now time.Time) {
	gateways := slices.Clone(r.Gateways)
	sortCollectors(gateways)
	t.mu.Lock()
	defer t.mu.Unlock()
	next := &roster{gateways: gateways, digest: rosterDigest(gateways), confirmedAt: now}
	if known := t.rosters[r.Domain]; known != nil && known.digest == next.digest {
		next.contactsRenewedAt = known.contactsRenewedAt
	}
	t.rosters[r.Domain] = next
	t.renewContacts(next, now)
}

// ConfirmRosters notes that another gateway holds the same rosters as this one, as far as
// it is believed.
func (t *Table) ConfirmRosters(digests map[ident.FailureDomain]uint64, believed func(ident.FailureDomain) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for domain, digest := range digests {
		if r := t.rosters[domain]; r != nil && r.digest == digest && believed(domain) {
			r.confirmedAt = now
			t.renewContacts(r, now)
		}
	}
}

// renewContacts keeps the contacts of a roster's gateways.
func (t *Table) renewContacts(r *roster, now time.Time) {
	if now.Sub(r.contactsRenewedAt) < contactRenewal {
		return
	}
	r.contactsRenewedAt = now
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
		if now.Sub(r.confirmedAt) <= KnownTimeout {
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
	if r := t.rosters[domain]; r != nil && now.Sub(r.confirmedAt) <= KnownTimeout {
		order = t.firstReachable(r.gateways, now)
	} else {
		all := t.contactsIn(domain, now)
		sortCollectors(all)
		order = t.firstReachable(all, now)
	}
	if domain == t.self.Domain && (len(order) == 0 || compareCollectors(t.self, order[0]) < 0) {
		return t.firstOfAllContacts(order, now)
	}
	return order
}

// firstReachable returns the first of gateways that are in order.
func (t *Table) firstReachable(gateways []Contact, now time.Time) []Contact {
	order := make([]Contact, 0, maxCollectorTries)
	for _, c := range gateways {
		if len(order) == maxCollectorTries {
			break
		}
		if c.Node != t.self.Node && !now.Before(t.unreachableUntil[c.Address]) {
			order = append(order, c)
		}
	}
	return order
}

// firstOfAllContacts adds the gateways that the roster lacks where this one would collect by it.
// What goes wrong without it: of gateways that start together two each take themselves
// for the collector, gather some of the domain each, and hear nothing of each other. So
// the first of them tells the first of all others that it is there.
func (t *Table) firstOfAllContacts(order []Contact, now time.Time) []Contact {
	all := t.contactsIn(t.self.Domain, now)
	for _, c := range order {
		if !slices.ContainsFunc(all, func(other Contact) bool { return other.Node == c.Node }) {
			all = append(all, c)
		}
	}
	sortCollectors(all)
	return t.firstReachable(all, now)
}

// contactsIn returns a failure domain's gateways by whatever word.
func (t *Table) contactsIn(domain ident.FailureDomain, now time.Time) []Contact {
	var all []Contact
	for _, c := range t.contacts {
		if c.Domain == domain && c.Node != "" && (c.expiresAt.IsZero() || now.Before(c.expiresAt)) {
			all = append(all, c.Contact)
		}
	}
	return all
}

// MarkUnreachable notes that a gateway did not answer.
func (t *Table) MarkUnreachable(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachableUntil[address] = now.Add(unreachableFor)
	for other, until := range t.unreachableUntil {
		if now.After(until) {
			delete(t.unreachableUntil, other)
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
