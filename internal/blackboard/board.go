package blackboard

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Board is the blackboard of one process. The comment of each section names its
// only writer.
type Board struct {
	// Documents holds the documents in force. Writer:
	// controllers/configuration.
	Documents *Section[*document.Set]
	// Configuration reports how fresh Documents is. Writer:
	// controllers/configuration.
	Configuration *Section[ConfigurationHealth]
	// Members is the merged state of all known instances. Writer:
	// membership.
	Members *Section[*Members]
	// Upstreams holds the upstreams and load reports that routing uses. Writer:
	// controllers/probing.
	Upstreams *Section[*Upstreams]
	// Journal reports whether calls with an idempotency key can be served.
	// Writer: calls.
	Journal *Section[JournalHealth]
	// Stopping becomes true when this process begins to leave, and stays so.
	// Writer: the process's main loop.
	Stopping *Section[bool]
}

// NewBoard returns a board whose sections hold empty values.
func NewBoard() *Board {
	return &Board{
		Documents:     NewSection(&document.Set{}),
		Configuration: NewSection(ConfigurationHealth{}),
		Members:       NewSection(&Members{}),
		Upstreams:     NewSection(&Upstreams{}),
		Journal:       NewSection(JournalHealth{}),
		Stopping:      NewSection(false),
	}
}

// ConfigurationHealth reports how fresh the documents are.
type ConfigurationHealth struct {
	// Ready reports that the process reached the log's head, or the highest
	// revision of its reachable peers, at least once.
	Ready bool
	// LogReachable reports that the last read of the log succeeded.
	LogReachable bool
	// Problem says why Ready is false, or what in the configuration cannot be
	// applied. It is empty if there is no problem.
	Problem string
}

// JournalHealth reports whether calls with an idempotency key can be served.
type JournalHealth struct {
	// Ready reports that the journal was read up to the log's head.
	Ready bool
	// LogReachable reports that the last read of each partition succeeded.
	LogReachable bool
	// WindowStart is the time such that keys issued before it may have records
	// that this process has not read; calls with such keys are refused.
	WindowStart time.Time
}

// MemberState is an instance's state, merged from all sources. For one incarnation
// it never changes to an earlier state.
type MemberState int

// The states, in their order.
const (
	Alive   MemberState = 1
	Suspect MemberState = 2
	Leaving MemberState = 3
	Gone    MemberState = 4
)

// Member is what is known about one instance.
type Member struct {
	Instance    platform.Instance
	Incarnation ident.Incarnation
	State       MemberState
	// Since is when this process learned of the state.
	Since time.Time
}

// Members is the merged state of all known instances.
type Members struct {
	ByID map[ident.Instance]Member
}

// Listing is the platform's list of instances as it was read last.
type Listing struct {
	Instances []platform.Instance
	// ReadAt is when the read started; zero before the first read.
	ReadAt time.Time
}

// CachedPrefix estimates how much of a prompt an upstream has in its cache.
type CachedPrefix interface {
	// Cached returns the estimated number of leading blocks in the cache,
	// weighted by the reliability of the estimate; it may be a fraction.
	Cached(blocks []uint64, now time.Time) float64
}

// Upstream is what routing knows about one upstream.
type Upstream struct {
	Instance platform.Instance
	State    MemberState
	// Report is the last load report. AsOf already takes its Age into account.
	Report upstream.Report
	// AsOf is the time at which the report was accurate; zero before the
	// first report.
	AsOf time.Time
	// Cache estimates what the upstream's cache holds; nil if unknown.
	Cache CachedPrefix
}

// Upstreams holds the upstreams and load reports that routing uses.
type Upstreams struct {
	ByService map[ident.Service][]Upstream
}
