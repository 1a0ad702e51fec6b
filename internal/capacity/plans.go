package capacity

import "github.com/goldcrestspool/goldcrestspool/internal/settings"

// The changes that are planned and not built. Their figures are computed at
// the target from the slopes of today's code.
const (
	// plannedStreams are the journal's streams: every failure domain has about
	// one gateway to read each, so that the domain alone knows all keys.
	plannedStreams = 32
	// plannedAppends is the journal's part of the log's appends, which sets
	// how long each stream's one writer gathers.
	plannedAppends = 250
	// plannedKeyBytes is what a key may take in memory: its answer stays with
	// two peers, and the entry is packed. An aim, not measured.
	plannedKeyBytes = 250
	// plannedLists is one read of the platform's list in 20 s by each gateway.
	plannedLists = 0.05
	// plannedPublications a second, since digests bring nothing sooner.
	plannedPublications = 1
	// plannedBlocks is the part of today's cache views that is kept.
	plannedBlocks = 0.25
)

// plannedChange is one figure of a planned change.
type plannedChange struct {
	change, description string
	unit         Unit
	source         ID
	current, planned    func(Lines, Size) float64
}

func plannedChanges() []plannedChange {
	const (
		partitions = "journal: 32 streams, each with one writer and one reader in each failure domain"
		memory     = "journal: answers stay with two peers, entries packed"
		lists      = "platform's list: every 20 s, and at notices"
		caches     = "cache views: 1024 blocks for a runner"
		published  = "probing: one publication a second"
	)
	interval := plannedStreams / float64(plannedAppends)
	return []plannedChange{
		{partitions, "appends of all gateways", PerSecond, AppendsGateways,
			func(l Lines, s Size) float64 { return s.journalAppends(l) },
			func(_ Lines, s Size) float64 { return min(plannedAppends, recordsPerKey*s.keyedCalls()) }},
		{partitions, "longest wait of a claim for its append", Milliseconds, AppendsInterval,
			func(Lines, Size) float64 { return 1000 * settings.DefaultBatchWait.Seconds() },
			func(Lines, Size) float64 { return 1000 * interval }},
		{partitions, "reading of one gateway", MicrosPerSecond, KeyProcessor,
			budgetFigure("journal", MicrosPerSecond), func(l Lines, s Size) float64 {
				calls := s.keyedCalls() / plannedStreams
				return calls*(l.slope(KeyProcessor)+recordsPerKey*l.slope(ReadWire)) + l.at(ReadWire, 0)/interval
			}},
		{partitions, "reading of one gateway", BytesPerSecond, ReadWireBytes,
			budgetFigure("journal", BytesPerSecond), func(l Lines, s Size) float64 {
				return recordsPerKey*s.keyedCalls()/plannedStreams*l.slope(ReadWireBytes) + l.at(ReadWireBytes, 0)/interval
			}},
		{partitions, "an hour of keys", Bytes, KeyMemory,
			budgetFigure("journal", Bytes), func(l Lines, s Size) float64 { return s.keysInWindow() / plannedStreams * l.slope(KeyMemory) }},
		{memory, "an hour of keys, with the streams above", Bytes, KeyMemory,
			budgetFigure("journal", Bytes), func(_ Lines, s Size) float64 { return s.keysInWindow() / plannedStreams * plannedKeyBytes }},
		{lists, "list", BytesPerSecond, ListWireBytes,
			func(l Lines, s Size) float64 { return listsPerSecond * l.at(ListWireBytes, s.entries()) },
			func(l Lines, s Size) float64 { return plannedLists * l.at(ListWireBytes, s.entries()) }},
		{caches, "cache views", Bytes, CacheMemory,
			func(l Lines, s Size) float64 { return l.at(CacheMemory, s.Upstreams) },
			func(l Lines, s Size) float64 { return plannedBlocks * l.at(CacheMemory, s.Upstreams) }},
		{published, "publication", MicrosPerSecond, ProbingLocal,
			func(l Lines, s Size) float64 { return l.at(ProbingLocal, s.Upstreams) },
			func(l Lines, s Size) float64 {
				return l.at(ProbingLocal, s.Upstreams) * plannedPublications / publicationsPerSecond
			}},
	}
}

// budgetFigure returns the first figure of a role with a unit that counts in a
// budget.
func budgetFigure(role string, unit Unit) func(Lines, Size) float64 {
	return func(l Lines, s Size) float64 {
		for _, r := range allRows() {
			if r.role == role && r.unit == unit && r.total != noTotal {
				return r.value(l, s)
			}
		}
		panic("capacity: no figure of " + role)
	}
}
