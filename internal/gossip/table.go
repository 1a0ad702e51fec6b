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
	// freshRounds is for how many rounds a report counts as the present, so that
	// two lost ones change nothing.
	freshRounds = 4
	// KnownTimeout is for how long a silent gateway still counts as one that may
	// admit requests. Killed ones are back within some seconds; one that is cut
	// off goes on admitting its part for as long as it lives, and the cuts that
	// the users know last for less.
	KnownTimeout = 15 * time.Second
	// leavingTimeout is for how long one that said it leaves counts after its last
	// word.
	leavingTimeout = 2 * time.Second
	// contactTTL is for how long an address is tried after its gateway was last
	// heard of.
	contactTTL = time.Minute
)

// Table holds what is known of the other gateways. It is safe for concurrent
// use.
type Table struct {
	self Contact

	mu       sync.Mutex
	members  map[ident.Instance]*Member
	contacts map[string]contact
	// rosters are the failure domains' gateways by their collectors' word.
	rosters map[ident.FailureDomain]*roster
	// unreachableUntil are addresses that did not answer, with until when they are passed over.
	unreachableUntil map[string]time.Time
}

// contact is an address at which a gateway may be reached.
type contact struct {
	Contact
	// expiresAt is when the address is given up; zero for a seed, which never is.
	expiresAt time.Time
}

// NewTable returns a table that knows only seeds' addresses.
func NewTable(self Contact, seeds []string) *Table {
	t := &Table{
		self: self, members: make(map[ident.Instance]*Member), contacts: make(map[string]contact),
		rosters: make(map[ident.FailureDomain]*roster), unreachableUntil: make(map[string]time.Time),
	}
	t.AddSeeds(seeds)
	return t
}

// AddSeeds adds addresses that are always tried.
func (t *Table) AddSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range seeds {
		c := t.contacts[address].Contact
		c.Address = address
		t.contacts[address] = contact{Contact: c}
	}
}

// RecordReport takes in what a gateway said of itself. An older report than is known
// changes nothing.
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
	t.members[r.Node] = &Member{Report: r, HeardAt: now, ClockOffset: time.UnixMilli(r.WallMillis).Sub(wall)}
	t.addContact(r.Contact, now)
}

// supersedes reports whether a replaces b. Incarnations are times of start, by a time
// of day that may have been set back between two lives, so that they are not
// compared: what a gateway says of itself is its present life.
func supersedes(a, b Report) bool {
	return a.Incarnation != b.Incarnation || a.Seq > b.Seq
}

// AddContacts takes in where other gateways can be reached.
func (t *Table) AddContacts(contacts []Contact, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range contacts {
		if c.Node == t.self.Node {
			continue
		}
		if known, some := t.contacts[c.Address]; !some || known.Node == "" {
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

// Addresses returns where to try to reach other gateways, in a fixed order.
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
			continue // the gateway has moved
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

// maxContactsSent is how many contacts are told to a gateway that knows others: enough to meet
// one that collects, and from it the rosters. What goes wrong with all of them: of a thousand
// gateways that start together each is told of all by each that it meets.
const maxContactsSent = 64

// Contacts returns gateways heard of lately, directly or by a collector's word: the first of
// each failure domain, and of the rest any, contactsMost at the most.
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
	var told []Contact
	for _, c := range inOrder {
		if first[c.Domain] < maxCollectorTries && len(told) < maxContactsSent {
			first[c.Domain]++
			told = append(told, c)
		}
	}
	return append(told, all[:maxContactsSent-len(told)]...)
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
		if now.Sub(m.HeardAt) < KnownTimeout {
			all[node] = m.Report.Contact
		}
	}
	delete(all, t.self.Node)
	return slices.SortedFunc(maps.Values(all), func(a, b Contact) int { return cmp.Compare(a.Node, b.Node) })
}

// DirectPeers is the other gateways that this one heard itself, at an instant.
type DirectPeers struct {
	// Fresh are those heard lately, in the order of their names.
	Fresh []Member
	// Known counts those that may admit requests, heard lately or not.
	Known int
}

// DirectPeers returns the other gateways that this one heard itself.
func (t *Table) DirectPeers(now time.Time) DirectPeers {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v DirectPeers
	for node, m := range t.members {
		age := now.Sub(m.HeardAt)
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

// countUnmet counts the gateways that others told of and that were not heard yet: among
// many it takes some rounds to meet them all, and they admit requests meanwhile.
func (t *Table) countUnmet(now time.Time) int {
	n := 0
	for _, c := range t.contacts {
		if !c.expiresAt.IsZero() && t.members[c.Node] == nil && now.Before(c.expiresAt.Add(KnownTimeout-contactTTL)) {
			n++
		}
	}
	return n
}

// Digest is equal where two gateways know the same others and themselves.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A sum does not depend on the order.
	digest := xxhash.Sum64String(string(t.self.Node))
	for _, c := range t.recentContacts(now) {
		digest += xxhash.Sum64String(string(c.Node))
	}
	return digest
}

// Members returns all gateways heard of in the last minute.
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

// WallCorrection returns what to add to this machine's time of day so that it is
// the median of all fresh gateways': a clock that was set wrong moves the median
// only if most are.
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

// silentAfter is after how long without a word a gateway counts as silent where a
// round reaches all others: three rounds and the time of an exchange.
const silentAfter = 1100 * time.Millisecond

// SilentDomains returns the failure domains but one's own whose gateways were
// heard in the last while, and none of them is now.
func SilentDomains(members []Member, own ident.FailureDomain, now time.Time) map[ident.FailureDomain]bool {
	// Among many, the time in which one of a domain's gateways is met is shorter
	// than that in which each is; the same limit does.
	silent := make(map[ident.FailureDomain]bool)
	for _, m := range members {
		domain, age := m.Report.Domain, now.Sub(m.HeardAt)
		if domain == own || age > KnownTimeout {
			continue
		}
		known, seen := silent[domain]
		silent[domain] = (known || !seen) && age > silentAfter
	}
	return silent
}
