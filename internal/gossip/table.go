package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// freshRounds is the number of rounds for which a report counts as current: losing two in a
	// row changes nothing.
	freshRounds = 4
	// KnownTimeout is how long a silent gateway still counts as one that may admit requests. A
	// killed gateway is back within some seconds. One that is cut off goes on admitting its
	// share for as long as it runs; the network partitions that the users have seen last for
	// less.
	KnownTimeout = 15 * time.Second
	// leavingTimeout is how long a gateway that announced that it leaves still counts after its
	// last report.
	leavingTimeout = 2 * time.Second
	// contactTTL is how long an address is tried after it was received, or last renewed by a
	// report of its gateway or by a roster.
	contactTTL = time.Minute
)

// Table holds what is known of the other gateways. It is safe for concurrent use.
type Table struct {
	self Contact

	mu       sync.Mutex
	members  map[ident.Instance]*Member
	contacts map[string]contact
	// rosters are the rosters that collectors reported, by failure domain.
	rosters map[ident.FailureDomain]*roster
	// unreachableUntil holds the addresses that did not answer and until when each is skipped.
	unreachableUntil map[string]time.Time
}

// contact is an address at which a gateway may be reached.
type contact struct {
	Contact
	// expiresAt is when the address is dropped. It is zero for a seed, which is never dropped.
	expiresAt time.Time
}

// NewTable returns a table that knows only the seeds' addresses.
func NewTable(self Contact, seeds []string) *Table {
	t := &Table{
		self: self, members: make(map[ident.Instance]*Member), contacts: make(map[string]contact),
		rosters: make(map[ident.FailureDomain]*roster), unreachableUntil: make(map[string]time.Time),
	}
	t.AddSeeds(seeds)
	return t
}

// AddSeeds adds addresses that never expire.
func (t *Table) AddSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range seeds {
		c := t.contacts[address].Contact
		c.Address = address
		t.contacts[address] = contact{Contact: c}
	}
}

// RecordReport records what another gateway reported about itself. It ignores a report that is
// not newer than the recorded one, and this gateway's own.
func (t *Table) RecordReport(r Report, now, wall time.Time) {
	if r.Node == t.self.Node || r.Node == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[r.Node]
	if known != nil && !supersedes(r, known.Report) {
		return
	}
	t.members[r.Node] = &Member{Report: r, ReceivedAt: now, ClockOffset: time.UnixMilli(r.WallMillis).Sub(wall)}
	t.addContact(r.Contact, now)
}

// supersedes reports whether report a replaces report b. Incarnations are not compared: they
// are start times by a wall clock that may have been set back between two starts. What a
// gateway says about itself comes from its present incarnation.
func supersedes(a, b Report) bool {
	return a.Incarnation != b.Incarnation || a.Seq > b.Seq
}

// AddContacts adds addresses at which other gateways can be reached. It changes no address
// whose gateway is known already.
func (t *Table) AddContacts(contacts []Contact, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range contacts {
		if c.Node == t.self.Node {
			continue
		}
		if known, ok := t.contacts[c.Address]; !ok || known.Node == "" {
			t.addContact(c, now)
		}
	}
}

func (t *Table) addContact(c Contact, now time.Time) {
	old, known := t.contacts[c.Address]
	if known && old.expiresAt.IsZero() {
		t.contacts[c.Address] = contact{Contact: c}
		return
	}
	t.contacts[c.Address] = contact{Contact: c, expiresAt: now.Add(contactTTL)}
}

// Addresses returns the addresses at which to try other gateways, sorted, without own.
func (t *Table) Addresses(own string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for address, c := range t.contacts {
		if address == own {
			continue
		}
		if !c.expiresAt.IsZero() && now.After(c.expiresAt) {
			delete(t.contacts, address)
			continue
		}
		if m := t.members[c.Node]; m != nil && m.Report.Address != address {
			continue // the gateway has a new address
		}
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// CountOthers returns how many other gateways there may be.
func (t *Table) CountOthers(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for address, c := range t.contacts {
		switch {
		case !c.expiresAt.IsZero() && !now.Before(c.expiresAt):
			delete(t.contacts, address)
		case c.Address != t.self.Address:
			n++
		}
	}
	return n
}

// maxContactsSent bounds the contacts in one answer. They suffice to reach a collector and to
// get the rosters from it. Without the bound, when a thousand gateways start together, each is
// sent all contacts by every gateway that it meets.
const maxContactsSent = 64

// Contacts returns gateways that reported directly within KnownTimeout or are in a roster that
// a collector confirmed within it: the first collectors of each failure domain, then random
// others, maxContactsSent at most.
func (t *Table) Contacts(now time.Time) []Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.recentContacts(now)
	if len(all) <= maxContactsSent {
		return all
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	first := make(map[ident.FailureDomain]int)
	inOrder := slices.Clone(all)
	sortCollectors(inOrder)
	var chosen []Contact
	for _, c := range inOrder {
		if first[c.Domain] < maxCollectorTries && len(chosen) < maxContactsSent {
			first[c.Domain]++
			chosen = append(chosen, c)
		}
	}
	return append(chosen, all[:maxContactsSent-len(chosen)]...)
}

func (t *Table) recentContacts(now time.Time) []Contact {
	all := make(map[ident.Instance]Contact)
	for _, r := range t.rosters {
		if now.Sub(r.confirmedAt) > KnownTimeout {
			continue
		}
		for _, c := range r.gateways {
			all[c.Node] = c
		}
	}
	for node, m := range t.members {
		if now.Sub(m.ReceivedAt) < KnownTimeout {
			all[node] = m.Report.Contact
		}
	}
	delete(all, t.self.Node)
	return slices.SortedFunc(maps.Values(all), func(a, b Contact) int { return cmp.Compare(a.Node, b.Node) })
}

// DirectPeers are the other gateways that reported to this one directly, as of an instant.
type DirectPeers struct {
	// Fresh are the gateways with a current report, sorted by name.
	Fresh []Member
	// Known counts the gateways that may admit requests, with a current report or without.
	Known int
}

// DirectPeers returns the other gateways that reported to this one directly.
func (t *Table) DirectPeers(now time.Time) DirectPeers {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v DirectPeers
	for node, m := range t.members {
		age := now.Sub(m.ReceivedAt)
		if age <= freshFor {
			v.Fresh = append(v.Fresh, *m)
		}
		switch {
		case m.Report.Leaving && age > leavingTimeout:
		case age <= KnownTimeout:
			v.Known++
		case age > contactTTL:
			delete(t.members, node)
		}
	}
	v.Known += t.countUnmet(now)
	slices.SortFunc(v.Fresh, func(a, b Member) int { return cmp.Compare(a.Report.Node, b.Report.Node) })
	return v
}

// countUnmet counts the gateways that others named and that have not reported yet. In a large
// fleet it takes some rounds to exchange reports with all of them, and they admit requests
// meanwhile.
func (t *Table) countUnmet(now time.Time) int {
	n := 0
	for _, c := range t.contacts {
		if !c.expiresAt.IsZero() && t.members[c.Node] == nil && now.Before(c.expiresAt.Add(KnownTimeout-contactTTL)) {
			n++
		}
	}
	return n
}

// Digest returns a digest of the known gateways including this one. Two gateways that know the
// same ones have the same digest.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Adding the hashes up makes the digest independent of the order.
	digest := xxhash.Sum64String(string(t.self.Node))
	for _, c := range t.recentContacts(now) {
		digest += xxhash.Sum64String(string(c.Node))
	}
	return digest
}

// Members returns all gateways that reported directly during the last minute, sorted by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Report.Node, b.Report.Node) })
	return out
}

// WallCorrection returns what to add to this machine's wall clock to get the median of all
// fresh gateways' clocks. A clock that is set wrong does not move the median unless most are.
func (v DirectPeers) WallCorrection() time.Duration {
	offs := []time.Duration{0}
	for _, m := range v.Fresh {
		offs = append(offs, m.ClockOffset)
	}
	return median(offs)
}

func median(offs []time.Duration) time.Duration {
	slices.Sort(offs)
	if n := len(offs); n%2 == 0 {
		return (offs[n/2-1] + offs[n/2]) / 2
	}
	return offs[len(offs)/2]
}

// silentAfter is the time without a report after which a gateway counts as silent, if each
// round reaches all others: three rounds and the time of one exchange.
const silentAfter = 1100 * time.Millisecond

// SilentDomains returns the failure domains, except the given own one, of which at least one
// gateway reported within KnownTimeout and none within silentAfter.
func SilentDomains(members []Member, own ident.FailureDomain, now time.Time) map[ident.FailureDomain]bool {
	// In a large fleet a round does not reach every gateway, but it takes less time to meet one
	// gateway of a domain than to meet each of them, so the same limit suffices.
	silent := make(map[ident.FailureDomain]bool)
	for _, m := range members {
		domain, age := m.Report.Domain, now.Sub(m.ReceivedAt)
		if domain == own || age > KnownTimeout {
			continue
		}
		known, seen := silent[domain]
		silent[domain] = (known || !seen) && age > silentAfter
	}
	return silent
}
