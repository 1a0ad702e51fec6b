package blackboard

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Board is the blackboard of one process. The comment of each section names
// its one writer.
type Board struct {
	// Documents in force. Writer: controllers/configuration.
	Documents *Section[*document.Set]
	// Configuration tells how fresh Documents is. Writer:
	// controllers/configuration.
	Configuration *Section[ConfigurationHealth]
	// Members is the merged state of all known instances. Writer:
	// membership.
	Members *Section[*Members]
	// Upstreams is what routing decides by. Writer: controllers/probing.
	Upstreams *Section[*Upstreams]
	// Journal tells whether calls with a key can be served. Writer: calls.
	Journal *Section[JournalHealth]
	// Stopping is set once when this process begins to leave. Writer: the
	// process's main loop.
	Stopping *Section[bool]
}

// NewBoard returns an empty board.
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

// ConfigurationHealth tells how fresh the documents are.
type ConfigurationHealth struct {
	// Ready: the process reached the log's head, or the highest revision of
	// its reachable peers, at least once.
	Ready bool
	// LogReachable: the last read of the log succeeded.
	LogReachable bool
	// Problem says why Ready is false, or what could not be understood.
	Problem string
}

// JournalHealth tells whether calls with a key can be served.
type JournalHealth struct {
	// Ready: the whole window of keys was read.
	Ready        bool
	LogReachable bool
	// WindowStart: keys issued before it are not known for certain.
	WindowStart time.Time
}

// MemberState is an instance's state as merged from all sources. For one
// incarnation it only moves forward.
type MemberState int

// The states, in their order.
const (
	Alive   MemberState = 1
	Suspect MemberState = 2
	Leaving MemberState = 3
	Gone    MemberState = 4
)

// Member is what is known of one instance.
type Member struct {
	Instance    platform.Instance
	Incarnation ident.Incarnation
	State       MemberState
	// Since is when this process learnt the state.
	Since time.Time
}

// Members is the merged state of all known instances.
type Members struct {
	ByID map[ident.Instance]Member
}

// Listing is the platform's list of instances as it was read last.
type Listing struct {
	Instances []platform.Instance
	// ReadAt is when the read began; zero before the first one.
	ReadAt time.Time
}

// CachedPrefix tells how much of a prompt an upstream holds in its cache.
type CachedPrefix interface {
	// Cached returns how many leading blocks are believed cached, weighed
	// by how much that belief is worth: a fraction is possible.
	Cached(blocks []uint64, now time.Time) float64
}

// Upstream is what routing knows of one upstream.
type Upstream struct {
	Instance platform.Instance
	State    MemberState
	// Report is the last load report; its Age is already part of AsOf.
	Report upstream.Report
	// AsOf is when the report's figures were true. Zero: no report yet.
	AsOf time.Time
	// Cache may be nil.
	Cache CachedPrefix
}

// Upstreams is what routing decides by.
type Upstreams struct {
	ByService map[ident.Service][]Upstream
}
