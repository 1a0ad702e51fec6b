// Package gossip keeps the gateways in step without the platform's store: each
// tells the others several times a second what it holds and spends, and gives
// them the configuration and the upstreams' entries that they lack.
//
// It speaks HTTP/1.1 with JSON between gateways. gRPC is not used here because
// it notices a silent connection after 10 s at the least (its keepalive's lower
// bound), and the views are of no use after one.
package gossip

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Report is what one gateway says of itself. A later one replaces it whole.
type Report struct {
	Node        ident.Instance      `json:"node"`
	Incarnation ident.Incarnation   `json:"inc"`
	Seq         uint64              `json:"seq"`
	Address     string              `json:"addr"`
	Domain      ident.FailureDomain `json:"domain"`
	// WallMillis is the sender's time of day, milliseconds since 1970.
	WallMillis int64 `json:"wall"`
	// Leaving: it was told to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Holds: it holds the lease of the duties. GivenUp is the fencing number of its
	// newest one that ran out, under which it acts no more.
	Holds   bool        `json:"holds,omitempty"`
	GivenUp ident.Fence `json:"given_up,omitempty"`
	// Revision of the configuration, and the offset up to which it knows the
	// upstreams' entries.
	Revision  ident.Revision `json:"rev,omitempty"`
	Upstreams ident.Offset   `json:"ups,omitempty"`
	// RevisionAge and UpstreamsAge are how long ago the store confirmed that these
	// are the newest, milliseconds.
	RevisionAge  int64 `json:"rev_age,omitempty"`
	UpstreamsAge int64 `json:"ups_age,omitempty"`
	// Loads are its requests in progress and unread prompt tokens, by upstream.
	Loads map[ident.Instance][2]int `json:"loads,omitempty"`
	// Spent is what it admitted, and Refused what it refused beyond the limit, by
	// account since its start, in the account's unit.
	Spent   map[ident.ClientAccount]float64 `json:"spent,omitempty"`
	Refused map[ident.ClientAccount]float64 `json:"refused,omitempty"`
	// Began counts requests that began to run, by window of true time.
	Began Windows `json:"began,omitempty"`
	// Work is what it asked of each service in the last seconds.
	Work map[ident.Service]Work `json:"work,omitempty"`
	// Engines is what its requests saw of each service's engines.
	Engines map[ident.Service]enginemodel.Sums `json:"engines,omitempty"`
}

// Work is a rate of work.
type Work struct {
	// Prompt is tokens to be read a second, and Generating the number of requests
	// that would be generating at their usual speed.
	Prompt     float64 `json:"p"`
	Generating float64 `json:"g"`
}

// Contact is where a gateway can be reached.
type Contact struct {
	Node    ident.Instance `json:"node"`
	Address string         `json:"addr"`
}

// ConfigRecord is the operators' configuration as it stands in the store.
type ConfigRecord struct {
	Revision ident.Revision
	Offset   ident.Offset
	Data     []byte
}

// message is a request, and its answer.
type message struct {
	From Report `json:"from"`
	// Knows is a digest of the gateways that the sender knows, and Contacts all
	// of them, where the receiver's digest differs.
	Knows    uint64    `json:"knows,omitempty"`
	Contacts []Contact `json:"contacts,omitempty"`
	// Wants: the sender takes a configuration, or all entries of upstreams, with the
	// answer.
	Wants bool `json:"wants,omitempty"`
	// Config and Upstreams are what the receiver lacks.
	Config    *packedConfig   `json:"config,omitempty"`
	Upstreams *directory.News `json:"upstreams,omitempty"`
}

// Member is another gateway as this one knows it.
type Member struct {
	Report Report
	// HeardAt is when its newest report came, by this machine's boot time.
	HeardAt time.Time
	// WallOff is its time of day minus this machine's.
	WallOff time.Duration
}
