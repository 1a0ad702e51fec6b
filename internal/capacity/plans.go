package capacity

import "github.com/goldcrestspool/goldcrestspool/internal/settings"

// The parameters of changes that are planned and not built. The figures of these changes
// are computed at the target size from the slopes of today's code.
const (
	// plannedStreams is the number of the journal's streams. In every failure
	// domain about one gateway reads each stream, so that the gateways of one
	// domain together know all keys.
	plannedStreams = 32
	// plannedAppends is the journal's part of the log's budget of appends. It
	// determines how long each stream's only writer collects a batch.
	plannedAppends = 250
	// plannedKeyBytes is how many bytes of memory a key may take if its answer is
	// stored at two peers and its entry is packed. It is a goal, not a
	// measurement.
	plannedKeyBytes = 250
	// plannedLists is each gateway's rate of reads of the platform's list: one in
	// 20 s.
	plannedLists = 0.05
	// plannedPublications is the rate of publications per second. More would be
	// useless, since digests arrive no more often.
	plannedPublications = 1
	// plannedBlocks is the fraction of the blocks of today's cache views that is
	// kept.
	plannedBlocks = 0.25
)

// plannedChange is one figure that a planned change affects: its value with the code
// as built, and with the change.
type plannedChange struct {
	change, description string
	unit                Unit
	source              ID
	current, planned    func(Lines, Size) float64
}

func plannedChanges() []plannedChange {
	const (
		partitions = "journal: 32 streams, each with one writer and one reader in each failure domain"
		packed     = "journal: answers stay with two peers, entries packed"
		lists      = "platform's list: every 20 s, and at notices"
		caches     = "cache views: 1024 blocks for a runner"
		published  = "probing: one publication a second"
	)
	// How long a stream's writer collects a batch, in seconds.
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
		{packed, "an hour of keys, with the streams above", Bytes, KeyMemory,
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

// budgetFigure returns the first figure of a role that has the given unit and is part
// of a total. It panics if there is none, which is a bug in this package.
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
