package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// unreachableFor is how long a collector that did not answer is skipped: as long as a killed
// gateway takes to come back, and longer than the next collector of its domain takes to leave
// it out of the roster.
const unreachableFor = 2 * time.Second

// roster is what is known of a failure domain's gateways.
type roster struct {
	// gateways are sorted by compareCollectors: the first acts as collector.
	gateways []Contact
	digest   uint64
	// confirmedAt is when a collector last sent or confirmed the roster; contactsRenewedAt is
	// when the gateways' contacts were last renewed.
	confirmedAt, contactsRenewedAt time.Time
}

// maxRosterGateways bounds the gateways in a roster: the collector and those that replace it
// if the ones before them are lost. Without the bound, whenever one of a thousand gateways
// starts or stops, the roster of its domain is sent to all, and it grows with the fleet.
const maxRosterGateways = 16

// contactRenewal is how often the contacts of an unchanged roster are renewed: well within the
// time after which they expire.
const contactRenewal = contactTTL / 4

// compareCollectors orders gateways by their precedence as collectors. Those with the most
// cores come first, because collecting takes some hundredths of a core. A hash decides among
// equals, so that the order does not follow the machines' names.
func compareCollectors(a, b Contact) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node))),
		cmp.Compare(a.Node, b.Node),
	)
}

func sortCollectors(gateways []Contact) { slices.SortFunc(gateways, compareCollectors) }

// rosterDigest returns a digest that is the same for equal rosters.
func rosterDigest(gateways []Contact) uint64 {
	digest := uint64(len(gateways))
	for _, c := range gateways {
		digest = digest*1099511628211 + xxhash.Sum64String(string(c.Node)+"\x00"+c.Address)
	}
	return digest
}

// SetRoster replaces the roster of a failure domain by the one that a collector sent.
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

// ConfirmRosters records that another gateway holds the same rosters as this one. It ignores
// domains for which trusted returns false.
func (t *Table) ConfirmRosters(digests map[ident.FailureDomain]uint64, trusted func(ident.FailureDomain) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for domain, digest := range digests {
		if r := t.rosters[domain]; r != nil && r.digest == digest && trusted(domain) {
			r.confirmedAt = now
			t.renewContacts(r, now)
		}
	}
}

// renewContacts extends the lifetime of the contacts of a roster's gateways; t.mu is held.
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

// Rosters returns the rosters that a collector sent or confirmed within KnownTimeout, and
// their digests.
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

// Collectors returns the gateways of a failure domain to try as collector, in order, without
// this gateway and without those that did not answer recently. It returns maxCollectorTries at
// most, because no more are tried: it is called several times a round, and must not sort a
// domain of hundreds of gateways each time.
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

// firstReachable returns the first maxCollectorTries of the sorted gateways, without this one
// and without those that did not answer recently.
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

// firstOfAllContacts returns the first collectors among the gateways in order and all known
// contacts. It is used where this gateway comes first by the roster. Without it, of gateways
// that start together two may each consider themselves the collector, collect from a part of
// the domain each, and never learn of each other. So the first one reports to the first of all
// others, which learns from the report that this gateway exists.
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

// contactsIn returns all known gateways of a failure domain, from whichever source.
func (t *Table) contactsIn(domain ident.FailureDomain, now time.Time) []Contact {
	var all []Contact
	for _, c := range t.contacts {
		if c.Domain == domain && c.Node != "" && (c.expiresAt.IsZero() || now.Before(c.expiresAt)) {
			all = append(all, c.Contact)
		}
	}
	return all
}

// MarkUnreachable records that the gateway at an address did not answer.
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

// Domains returns the failure domains in which gateways are known, this one's included,
// sorted.
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
