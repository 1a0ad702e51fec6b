package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// Interval is the time between two rounds. Where a round reaches all gateways, the others'
	// loads and spending are at most one round old. Half of this interval would cost twice the
	// bytes; at twice this interval, an account that suddenly asks for several times its limit
	// could get more than the limit.
	Interval = 250 * time.Millisecond
	// fanout bounds the gateways that a round exchanges reports with directly. Up to twice as
	// many others all meet in each round, as caller or as callee; with more, collectors are
	// used.
	fanout = 8
	// exchangeTimeout ends an exchange on a connection that went silent. The farthest gateways
	// are 1 ms apart, and one on a busy machine answers within some tenths of a second.
	exchangeTimeout = 600 * time.Millisecond
	// maxMessageBytes bounds a message: a report, the contacts and entries of hundreds of
	// gateways and upstreams, and a large configuration.
	maxMessageBytes = 8 << 20
	// exchangePath is the URL path of exchanges, on the gateways' own listener.
	exchangePath = "/exchange"
)

// Knowledge gives access to what this gateway knows: it is read for messages to other gateways
// and updated from theirs.
type Knowledge interface {
	// Report returns this gateway's report as of now.
	Report(now time.Time) Report
	// BriefReport returns the report without requests in progress, spending and counts.
	BriefReport(now time.Time) Report
	// ConfigSince returns the configuration if its revision is newer than the given one, else nil.
	ConfigSince(than ident.Revision) *ConfigRecord
	// UpstreamsSince returns what a gateway lacks that knows the upstream entries up to a position.
	// It returns nil if that means all entries and all is not set.
	UpstreamsSince(from ident.Position, all bool) *directory.Update
	// NeedsFetch reports whether another gateway should be asked for the configuration or for all
	// upstream entries.
	NeedsFetch() bool
	// ApplyUpdates applies what another gateway sent; an argument is nil if it sent none.
	ApplyUpdates(config *ConfigRecord, upstreams *directory.Update)
	// ApplyReport applies a report that has just arrived: which revision and offset it
	// confirms, and what its gateway counted. It is called for each report at once. If reports
	// were applied only at the next refresh of the View, data that the gateway with the lowest
	// rank reads from the store would grow older by up to 0.125 s at each gateway that passes
	// it on, and the others would read the store themselves sooner.
	//
	// The ages in the report count from asOf. A zero asOf means that the instant is unknown;
	// the report then confirms nothing.
	ApplyReport(r *Report, asOf time.Time)
	// LimitedSet returns the upstreams whose rate limits this gateway knows.
	LimitedSet() upstreamlimit.LimitedSet
	// ApplyCounts applies the counts of other gateways that a collector sent.
	ApplyCounts(counts []IncarnationCounts)
}

// Config is what New needs.
type Config struct {
	Self        Contact
	Incarnation ident.Incarnation
	Table       *Table
	Knowledge   Knowledge
	Network     Network
	// LoanNetwork carries requests for loans, which Lend answers. Both are nil where gateways lend
	// nothing to each other.
	LoanNetwork Network
	Lend        MessageServer
	// Messages serve further kinds of encoded messages, by their URL paths; it may be nil.
	Messages map[string]MessageServer
	// Handlers serve further paths on the gateways' own listener; it may be nil.
	Handlers map[string]http.Handler
	Now      boottime.Clock
	Log      hclog.Logger
}

// Gossip exchanges reports with the other gateways. It is safe for concurrent use.
type Gossip struct {
	cfg       Config
	server    *http.Server
	collector *Collector
	startedAt time.Time

	// fetching is set while another gateway is being asked for the configuration or for all
	// upstream entries.
	fetching atomic.Bool
	// activeTransfers counts the requests with WantsLarge that are being answered.
	activeTransfers atomic.Int32
	leaving         atomic.Bool
	// rejectedAnswers counts the collectors' answers that were rejected because they include a
	// report that this gateway no longer remembers.
	rejectedAnswers atomic.Int64

	mu sync.Mutex
	// compressed is the newest configuration that was compressed to be sent whole, and configs
	// the recent configurations.
	compressed *encodedConfig
	configs    configHistory
	// unresponsive holds the addresses that did not answer the last request, and invalidSenders
	// those from which the last message was not valid; each is logged once.
	unresponsive, invalidSenders map[string]bool
	invalidMessageLines          logthrottle.Throttle
	inFlight                     map[string]bool
	bytes                        int64
	// collectorSum is the newest sum of all other gateways that a collector sent, received at
	// collectorSumAt. collectorClockCorrection is the clock correction by that collector.
	collectorSum             *Sum
	collectorSumAt           time.Time
	collectorClockCorrection time.Duration
	// sentReports are the last reports that were sent to collectors, the newest last.
	sentReports []Report
	// knownBySource holds how many gateways each collector knew whose sum arrived within
	// KnownTimeout, by the source of the sum.
	knownBySource map[string]knownCount
	// collectorLimitSet is the LimitSet of the collector that answered last.
	collectorLimitSet uint32
	// speedsAfter is the last upstream whose speed a collector sent.
	speedsAfter uint32
	// countsReceivedAt is when a domain's counts were last requested successfully.
	countsReceivedAt map[ident.FailureDomain]time.Time
}

// New returns a Gossip. It does nothing until Serve and Run are called.
func New(cfg Config) *Gossip {
	g := &Gossip{
		cfg: cfg, collector: NewCollector(cfg.Self, cfg.Incarnation), startedAt: cfg.Now(), unresponsive: make(map[string]bool), invalidSenders: make(map[string]bool),
		inFlight: make(map[string]bool), knownBySource: make(map[string]knownCount), countsReceivedAt: make(map[ident.FailureDomain]time.Time),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, g.serveExchange)
	if cfg.Lend != nil {
		mux.Handle("POST "+LoanPath, g.messageHandler(cfg.Lend))
	}
	for path, serve := range cfg.Messages {
		mux.Handle("POST "+path, g.messageHandler(serve))
	}
	for pattern, handler := range cfg.Handlers {
		mux.Handle(pattern, handler)
	}
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: exchangeTimeout, IdleTimeout: connectionIdleTimeout,
		ErrorLog: cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	return g
}

// connectionIdleTimeout is how long an idle connection between gateways is kept open.
const connectionIdleTimeout = 10 * time.Second

// KeepAliveHeader announces on the gateways' own listener how long a connection may be reused: its idle
// timeout, in seconds.
const KeepAliveHeader = "timeout=10"

// Serve answers other gateways until Close is called.
func (g *Gossip) Serve(listener net.Listener) error {
	err := g.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops answering other gateways.
func (g *Gossip) Close() error { return g.server.Close() }

// Run exchanges reports in every round until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for sleep.For(ctx, Interval/2) {
		// Sums are exchanged twice a round: all gateways then get younger data, and only
		// the few collectors do so.
		g.exchangeSums(ctx, g.cfg.Now())
		if !sleep.For(ctx, Interval/2) {
			return
		}
		g.round(ctx)
	}
}

// round exchanges reports. In a large fleet it reports to a collector; in a small one, or as
// long as no collector answers, it exchanges reports with up to fanout others concurrently.
func (g *Gossip) round(ctx context.Context) {
	now := g.cfg.Now()
	g.recordConfig()
	if usesCollectors(g.cfg.Table.CountOthers(now)) {
		g.runCollection(ctx, now)
		if g.collectionWorks(now) {
			g.fetch(ctx, nil)
			return
		}
	}
	addresses := g.cfg.Table.Addresses(g.cfg.Self.Address, now)
	if len(addresses) > fanout {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:fanout]
	}
	g.fetch(ctx, addresses)
	g.exchangeWithAll(ctx, addresses)
}

// exchangeWithAll exchanges reports with other gateways, except those with which an exchange
// is in flight. It does not wait for the answers.
func (g *Gossip) exchangeWithAll(ctx context.Context, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	body := g.encodeReport(false)
	for _, address := range addresses {
		if g.tryBeginExchange(address) {
			go g.exchange(ctx, address, body)
		}
	}
}

// Announce reports to the other gateways at once and waits for their answers. It is for changes
// that cannot wait for the next round. In a large fleet it reports to the collectors.
func (g *Gossip) Announce(ctx context.Context) {
	var all sync.WaitGroup
	now := g.cfg.Now()
	if usesCollectors(g.cfg.Table.CountOthers(now)) {
		g.announceToCollectors(ctx, &all, now)
	} else {
		body := g.encodeReport(false)
		for _, address := range g.cfg.Table.Addresses(g.cfg.Self.Address, now) {
			all.Go(func() { g.exchange(ctx, address, body) })
		}
	}
	all.Wait()
}

// RequestCounts reports whether the counts of all gateways in the View arrived within the given
// time before now, and requests those that did not. It does not wait for the answers.
func (g *Gossip) RequestCounts(ctx context.Context, within time.Duration) bool {
	now := g.cfg.Now()
	if usesCollectors(g.cfg.Table.CountOthers(now)) {
		return g.requestDomainCounts(ctx, within, now)
	}
	var missing []string
	for _, m := range g.cfg.Table.DirectPeers(now).Fresh {
		if now.Sub(m.ReceivedAt) > within {
			missing = append(missing, m.Report.Address)
		}
	}
	g.exchangeWithAll(ctx, missing)
	return len(missing) == 0
}

// Leave records that this gateway is leaving: it no longer acts as a collector.
func (g *Gossip) Leave() { g.leaving.Store(true) }

// tryBeginExchange marks the exchange with the given key as in flight. It returns false if the
// exchange was in flight already.
func (g *Gossip) tryBeginExchange(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[key] {
		return false
	}
	g.inFlight[key] = true
	return true
}

// endExchange marks the exchange with the given key as no longer in flight.
func (g *Gossip) endExchange(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, key)
}

// logReachability logs when a gateway stops answering and when it answers again.
func (g *Gossip) logReachability(address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unresponsive[address] == (err != nil) {
		return
	}
	if err != nil {
		g.unresponsive[address] = true
		g.cfg.Log.Info("gateway stopped answering", "address", address, "error", err)
	} else {
		delete(g.unresponsive, address)
		g.cfg.Log.Info("gateway answers again", "address", address)
	}
}

// encodeReport encodes this gateway's report as one request for several receivers.
func (g *Gossip) encodeReport(wantsLarge bool) []byte {
	now := g.cfg.Now()
	return g.encode(&message{From: g.cfg.Knowledge.Report(now), KnownDigest: g.cfg.Table.Digest(now), WantsLarge: wantsLarge})
}

func (g *Gossip) encode(m *message) []byte {
	m.AcceptsPatches = true
	body, err := m.encode()
	if err != nil {
		// A name that is not valid UTF-8, for instance. The receivers then log a message
		// without a report.
		g.cfg.Log.Error("cannot encode a message to another gateway", "error", err)
	}
	return body
}

// Bytes returns how many bytes of messages this gateway has sent and received as a caller.
func (g *Gossip) Bytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}
