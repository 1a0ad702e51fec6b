package gossip

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// Interval between two rounds. Others' loads and spending are older than
	// this by one round at the most where a round reaches all gateways. Half of it would
	// cost twice the bytes; twice of it would let an account that suddenly asks for
	// several times its limit have more than it may.
	Interval = 250 * time.Millisecond
	// fanout bounds the direct meetings of a round. Up to twice as many others all meet
	// in each round, as caller or as callee; among more, reports are collected.
	fanout = 8
	// exchangeTimeout ends an exchange on a connection that went silent. The
	// farthest gateways are 1 ms apart, and a slowed one answers within some
	// tenths of a second.
	exchangeTimeout = 600 * time.Millisecond
	// maxMessageBytes bounds a message: a report, the contacts and entries of hundreds
	// of gateways and upstreams, and a large configuration.
	maxMessageBytes = 8 << 20
	// exchangePath of the exchange, on the gateways' own address.
	exchangePath = "/exchange"
)

// Knowledge is what a gateway holds and gives to others.
type Knowledge interface {
	// Report returns what to say of this gateway now, and Brief the same without what it
	// has in progress, spent and counted.
	Report(now time.Time) Report
	Brief(now time.Time) Report
	// Config returns the configuration if it is newer than a revision.
	Config(than ident.Revision) *ConfigRecord
	// Upstreams returns what a gateway lacks that knows the upstreams' entries up
	// to an offset; nil where that is all of them and these are not asked for.
	Upstreams(from ident.Offset, all bool) *directory.News
	// Lacks reports whether another gateway should be asked for the configuration, or
	// for all entries.
	Lacks() bool
	// Learn takes in what another gateway gave; nil where it gave nothing.
	Learn(config *ConfigRecord, upstreams *directory.News)
	// Heard takes in what a gateway said of itself just now: what it confirms, and what
	// it counted. What goes wrong if that waits for the next look at all reports: what
	// the first in line reads of the store grows older by up to 0.125 s at each gateway
	// on its way, and gateways read the store for themselves the sooner. The ages in it are as of an
	// instant, or of nobody knows when, where that is zero: they confirm nothing then.
	Heard(r *Report, asOf time.Time)
	// LimitOrder returns the upstreams of which it knows limits.
	LimitOrder() upstreamlimit.Order
	// Count takes in what gateways counted, by a collector's word.
	Count(counts []LifeCounts)
}

// Config is what a Gossip works with.
type Config struct {
	Self        Contact
	Incarnation ident.Incarnation
	Table       *Table
	Knowledge   Knowledge
	Network     Network
	Now         boottime.Clock
	Log         hclog.Logger
}

// Gossip exchanges reports with the other gateways.
type Gossip struct {
	cfg       Config
	server    *http.Server
	collector *Collector
	startedAt     time.Time

	// fetching: another gateway is being asked for what this one lacks.
	fetching atomic.Bool
	// activeTransfers counts the gateways that are being handed what they lack.
	activeTransfers atomic.Int32
	leaving atomic.Bool
	// rejectedAnswers are the collectors' answers that were refused, because they hold a report
	// which is not known any more.
	rejectedAnswers atomic.Int64

	mu sync.Mutex
	// compressed is the newest configuration that was handed on whole, and configs those that
	// were in force lately.
	compressed  *encodedConfig
	configs configHistory
	// unresponsive are the addresses that did not answer last, and refused those whose last
	// message was not valid, for the log.
	unresponsive, invalidSenders map[string]bool
	inFlight            map[string]bool
	bytes           int64
	// collectorSum is a collector's sum of all others, of answeredAt, and answerOff the
	// correction of this machine's time of day by it.
	collectorSum     *Sum
	collectorSumAt time.Time
	collectorClockCorrection  time.Duration
	// sentReports are the newest reports that were sent to collectors, the newest last.
	sentReports []Report
	// knownBySource is how many gateways the collectors that were heard lately knew.
	knownBySource map[string]knownCount
	// collectorLimitSet is the digest of the limits that the collector which answered last knew.
	collectorLimitSet uint32
	// countsReceivedAt is when a domain's counts came.
	countsReceivedAt map[ident.FailureDomain]time.Time
}

// New returns a Gossip; call Serve and Run.
func New(cfg Config) *Gossip {
	g := &Gossip{
		cfg: cfg, collector: NewCollector(cfg.Self, cfg.Incarnation), startedAt: cfg.Now(), unresponsive: make(map[string]bool), invalidSenders: make(map[string]bool),
		inFlight: make(map[string]bool), knownBySource: make(map[string]knownCount), countsReceivedAt: make(map[ident.FailureDomain]time.Time),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, g.serveExchange)
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: exchangeTimeout, IdleTimeout: connectionIdleTimeout,
		ErrorLog: cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	return g
}

// connectionIdleTimeout is for how long a connection between gateways is kept.
const connectionIdleTimeout = 10 * time.Second

// keepAliveHeader tells it to the other side.
const keepAliveHeader = "timeout=10"

// Serve answers other gateways until Close.
func (g *Gossip) Serve(listener net.Listener) error {
	err := g.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends the answering.
func (g *Gossip) Close() error { return g.server.Close() }

// Run exchanges reports until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for pause.For(ctx, Interval/2) {
		// Sums twice a round make what all others know younger, and few collect.
		g.exchangeSums(ctx, g.cfg.Now())
		if !pause.For(ctx, Interval/2) {
			return
		}
		g.round(ctx)
	}
}

// round exchanges reports, all at once: with a collector among many gateways, and
// directly with up to fanout others where there are few or no collector is heard.
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

// exchangeWithAll exchanges reports with other gateways, but for those that are being asked. It
// does not wait for the answers.
func (g *Gossip) exchangeWithAll(ctx context.Context, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	body := g.encodeReport(false)
	for _, address := range addresses {
		if g.tryBegin(address) {
			go g.exchange(ctx, address, body)
		}
	}
}

// Say tells the others at once and waits for their answers: for news that must not wait
// for the next round. Among many gateways the collectors are told.
func (g *Gossip) Say(ctx context.Context) {
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

// Gather reports whether the counts of all gateways that are heard came within a time,
// and asks for those that did not.
func (g *Gossip) Gather(ctx context.Context, within time.Duration) bool {
	now := g.cfg.Now()
	if usesCollectors(g.cfg.Table.CountOthers(now)) {
		return g.requestDomainCounts(ctx, within, now)
	}
	var missing []string
	for _, m := range g.cfg.Table.DirectPeers(now).Fresh {
		if now.Sub(m.HeardAt) > within {
			missing = append(missing, m.Report.Address)
		}
	}
	g.exchangeWithAll(ctx, missing)
	return len(missing) == 0
}

// Leave notes that this gateway leaves: it collects no more.
func (g *Gossip) Leave() { g.leaving.Store(true) }

func (g *Gossip) tryBegin(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[address] {
		return false
	}
	g.inFlight[address] = true
	return true
}

func (g *Gossip) end(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, key)
}

// logReachability logs that a gateway stops to answer, or answers again.
func (g *Gossip) logReachability(address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unresponsive[address] == (err != nil) {
		return
	}
	if err != nil {
		g.unresponsive[address] = true
		g.cfg.Log.Info("another gateway does not answer", "address", address, "error", err)
	} else {
		delete(g.unresponsive, address)
		g.cfg.Log.Info("another gateway answers", "address", address)
	}
}

// encodeReport encodes this gateway's report, once for all that it is sent to.
func (g *Gossip) encodeReport(wants bool) []byte {
	now := g.cfg.Now()
	return g.encode(&message{From: g.cfg.Knowledge.Report(now), KnownDigest: g.cfg.Table.Digest(now), WantsLarge: wants})
}

func (g *Gossip) encode(m *message) []byte {
	m.AcceptsPatches = true
	body, err := m.encode()
	if err != nil {
		// A name that is not text, for instance; the others then say that they got
		// no report.
		g.cfg.Log.Error("report not encoded", "error", err)
	}
	return body
}

// exchange sends a request to another gateway and takes its answer in.
func (g *Gossip) exchange(ctx context.Context, address string, request []byte) {
	sent := g.cfg.Now()
	answer, err := g.callWithTimeout(ctx, exchangeTimeout, address, request)
	g.end(address)
	g.logReachability(address, err)
	if err == nil {
		g.handleAnswer(answer, sent)
	}
}

func (g *Gossip) callWithTimeout(ctx context.Context, timeout time.Duration, address string, request []byte) (*message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.call(ctx, address, request)
}

func (g *Gossip) call(ctx context.Context, address string, request []byte) (*message, error) {
	data, err := g.cfg.Network.Send(ctx, address, request)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.bytes += int64(len(request) + len(data))
	g.mu.Unlock()
	return g.decodeFrom(address, data)
}

// decodeFrom decodes what another gateway sent. The first message of it that is not valid is
// logged, until a valid one comes: an older build would fill the log otherwise.
func (g *Gossip) decodeFrom(from string, data []byte) (*message, error) {
	var m *message
	err := pkgerrors.Errorf("more than %d bytes", maxMessageBytes)
	if len(data) <= maxMessageBytes {
		m, err = decode(data)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		delete(g.invalidSenders, from)
		return m, nil
	}
	if !g.invalidSenders[from] && len(g.invalidSenders) < maxInvalidSenders {
		g.invalidSenders[from] = true
		g.cfg.Log.Warn("a gateway's message is not valid, it changes nothing", "from", from, "bytes", len(data), "error", err)
	}
	return nil, err
}

// maxInvalidSenders bounds the senders of invalid messages that are remembered.
const maxInvalidSenders = 1000

// Bytes returns how many bytes of messages were exchanged as a caller.
func (g *Gossip) Bytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

// handleAnswer takes in the answer to a request that was sent at an instant. How long the answer
// was on its way is not known, so that its ages are as of the request's sending. What goes
// wrong as of its coming: two collectors that tell each other eight times a second over
// 0.1 s make a view younger with each exchange, and the store is not asked any more.
func (g *Gossip) handleAnswer(m *message, sent time.Time) {
	now, wall := g.cfg.Now(), time.Now()
	// What it confirms counts once what this gateway lacked is taken in.
	defer g.cfg.Knowledge.Heard(&m.From, sent)
	g.cfg.Table.RecordReport(m.From, now, wall)
	g.cfg.Table.AddContacts(m.Contacts, now)
	g.applyCollectorAnswer(m, now, wall)
	if len(m.Counts) > 0 {
		g.cfg.Knowledge.Count(m.Counts)
	}
	var config *ConfigRecord
	if m.Config != nil {
		var err error
		if config, err = g.unpackConfig(m.Config); err != nil {
			g.cfg.Log.Error("a gateway's configuration is not usable", "node", m.From.Node, "revision", m.Config.Revision, "error", err)
		}
	}
	if config != nil || m.Upstreams != nil {
		g.cfg.Knowledge.Learn(config, m.Upstreams)
	}
}

// serveExchange answers another gateway.
func (g *Gossip) serveExchange(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
	if err != nil {
		return // the connection broke; the other gateway asks again
	}
	// Connections come from any port; the machine names the sender.
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	body, done, err := g.handleRequest(host, data)
	if err != nil {
		http.Error(w, "not a valid message", http.StatusBadRequest)
		return
	}
	defer done()
	w.Header().Set("Keep-Alive", keepAliveHeader)
	w.Header().Set("Content-Type", "application/x-protobuf")
	// The other gateway may be gone; it asks again.
	_, _ = w.Write(body)
}

// handleRequest answers a request. Call done when the answer is sent.
func (g *Gossip) handleRequest(from string, request []byte) (answer []byte, done func(), err error) {
	asked, err := g.decodeFrom(from, request)
	if err != nil {
		return nil, nil, err
	}
	reply, done := g.answerRequest(asked)
	return g.encode(reply), done, nil
}

// reportFor is what an answer says of this gateway: sums hold the rest.
func (g *Gossip) reportFor(asked *message, now time.Time) Report {
	if asked.Collect || asked.DomainSum != nil || asked.WantsCounts {
		return g.cfg.Knowledge.Brief(now)
	}
	return g.cfg.Knowledge.Report(now)
}

// answerRequest takes another gateway's report and gives it what it lacks. Call done when the
// answer is sent.
func (g *Gossip) answerRequest(asked *message) (reply *message, done func()) {
	now, wall := g.cfg.Now(), time.Now()
	g.cfg.Table.RecordReport(asked.From, now, wall)
	g.cfg.Knowledge.Heard(&asked.From, time.Time{})
	reply = &message{From: g.reportFor(asked, now)}
	done = g.addMissing(asked, reply)
	if asked.KnownDigest != 0 && asked.KnownDigest != g.cfg.Table.Digest(now) {
		reply.Contacts = g.cfg.Table.Contacts(now)
	}
	g.addCollectorAnswer(asked, reply, now, wall)
	if asked.From.Upstreams > reply.From.Upstreams && g.tryBegin(asked.From.Address) {
		// Who tells has newer entries; the asker alone is handed what it lacks.
		go g.exchange(context.Background(), asked.From.Address, g.encodeReport(false))
	}
	return reply, done
}
