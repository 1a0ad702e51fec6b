package speed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Entry holds the sums of one upstream in messages.
type Entry struct {
	// Upstream is the hash that identifies the upstream in messages.
	Upstream uint32
	Sums
}

// Table holds the newest sums of several sources, and their totals by upstream. A source sends the
// sums of some upstreams at a time; the others decay as they do at the source until it sends them
// again. It is not safe for concurrent use.
type Table struct {
	sources   map[string]map[uint32]timedSums
	totals    map[uint32]timedSums
	expiredAt time.Time
}

// NewTable returns a table that has received nothing.
func NewTable() *Table {
	return &Table{sources: make(map[string]map[uint32]timedSums), totals: make(map[uint32]timedSums)}
}

// Apply replaces what a source reported earlier of the same upstreams. Entries that are older than
// what is known are ignored.
func (t *Table) Apply(source string, entries []Entry, asOf time.Time) {
	if len(entries) == 0 {
		return
	}
	known := t.sources[source]
	if known == nil {
		known = make(map[uint32]timedSums)
		t.sources[source] = known
	}
	for _, e := range entries {
		if before := known[e.Upstream]; !before.at.After(asOf) {
			t.replace(e.Upstream, before, timedSums{e.Sums, asOf})
			known[e.Upstream] = timedSums{e.Sums, asOf}
		}
	}
}

// replace replaces a part of an upstream's total.
func (t *Table) replace(upstream uint32, before, after timedSums) {
	total := t.totals[upstream]
	at := after.at
	if total.at.After(at) {
		at = total.at
	}
	left := total.asOf(at).Minus(before.asOf(at))
	t.totals[upstream] = timedSums{left.Plus(after.asOf(at)), at}
}

// Total returns the sum over all sources for an upstream.
func (t *Table) Total(upstream uint32, now time.Time) Sums { return t.totals[upstream].asOf(now) }

// AddTotals adds the totals of all upstreams to a map.
func (t *Table) AddTotals(into map[uint32]Sums, now time.Time) {
	for upstream, total := range t.totals {
		into[upstream] = into[upstream].Plus(total.asOf(now))
	}
}

// expireInterval is how often a table drops what has decayed.
const expireInterval = 5 * time.Second

// Expire drops sums that have decayed, once per expireInterval.
func (t *Table) Expire(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	decayed := func(_ uint32, s timedSums) bool { return s.asOf(now).Weight < forgottenWeight }
	maps.DeleteFunc(t.totals, decayed)
	for source, sums := range t.sources {
		maps.DeleteFunc(sums, decayed)
		if len(sums) == 0 {
			delete(t.sources, source)
		}
	}
}

// Entries returns sums as entries, sorted by upstream.
func Entries(sums map[uint32]Sums) []Entry {
	out := make([]Entry, 0, len(sums))
	for upstream, s := range sums {
		if s.Weight >= forgottenWeight {
			out = append(out, Entry{upstream, s})
		}
	}
	sortEntries(out)
	return out
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
}

// Differing returns the entries of the upstreams whose factors a gateway may use. It takes samples to
// have the lowest deviation, because it does not know the services.
func Differing(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if e.Estimate(minDeviation).Factor(true) != 1 {
			out = append(out, e)
		}
	}
	return out
}

// Following returns at most count of the entries, which are sorted by upstream: those that follow an
// upstream, and the first ones after the last. A receiver that names the last upstream that it got is
// sent all in turn, whatever entries come or go and whichever messages are lost.
func Following(entries []Entry, upstream uint32, count int) []Entry {
	n := len(entries)
	if n <= count {
		return entries
	}
	first, found := slices.BinarySearchFunc(entries, upstream, func(e Entry, upstream uint32) int { return cmp.Compare(e.Upstream, upstream) })
	if found {
		first++
	}
	out := make([]Entry, 0, count)
	for i := range count {
		out = append(out, entries[(first+i)%n])
	}
	return out
}

// Last returns the upstream of the last entry; 0 if there is none.
func Last(entries []Entry) uint32 {
	if len(entries) == 0 {
		return 0
	}
	return entries[len(entries)-1].Upstream
}

// Rotation chooses which entries are sent to all receivers in a round. The zero value starts with the
// first.
type Rotation struct {
	round int64
	// after is the upstream that the entries of the round follow, and last the last one of them.
	after, last uint32
}

// Window returns at most count of the entries: in each round those that follow the ones of the round
// before.
func (r *Rotation) Window(entries []Entry, count int, round int64) []Entry {
	if round != r.round {
		r.round, r.after = round, r.last
	}
	out := Following(entries, r.after, count)
	r.last = Last(out)
	return out
}
