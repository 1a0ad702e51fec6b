package gossip

import (
	"context"
	"encoding/json"
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
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
)

const (
	// Interval between two rounds. Others' loads and spending are older than
	// this by one round at the most where a round reaches all gateways; half of it
	// would cost twice the bytes. Among ninety they are 1.4 s old when gateways meet.
	// Twice the interval would let an account that suddenly asks for seven times its
	// limit have 5 in a hundred more than it may (by the quota's test of ninety gateways).
	Interval = 250 * time.Millisecond
	// fanout bounds the exchanges of a round, so that the work of a gateway does
	// not grow with their number. Today's sites have up to nine gateways, all
	// of which meet in each round.
	fanout = 8
	// exchangeTimeout ends an exchange on a connection that went silent. The
	// farthest gateways are 1 ms apart, and a slowed one answers within some
	// tenths of a second.
	exchangeTimeout = 600 * time.Millisecond
	// mostMessage bounds a message: a report, the contacts and entries of hundreds
	// of gateways and upstreams, and a large configuration.
	mostMessage = 8 << 20
	// path of the exchange, on the gateways' own address.
	path = "/exchange"
)

// MeetEvery is the mean time between two meetings with another gateway among so many
// others, and Interval at the least. Two gateways meet in a round as caller and as
// callee.
func MeetEvery(others int) time.Duration {
	return Interval * time.Duration(max(1, (others+2*fanout-1)/(2*fanout)))
}

// Knowledge is what a gateway holds and gives to others.
type Knowledge interface {
	// Report returns what to say of this gateway now.
	Report(now time.Time) Report
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
}

// Config is what a Gossip works with.
type Config struct {
	Self      ident.Instance
	Address   string
	Table     *Table
	Knowledge Knowledge
	Pool      *httpconn.Pool
	Now       boottime.Clock
	Log       hclog.Logger
}

// Gossip exchanges reports with the other gateways.
type Gossip struct {
	cfg    Config
	server *http.Server

	// fetching: another gateway is being asked for what this one lacks.
	fetching atomic.Bool
	// handing counts the gateways that are being handed what they lack.
	handing atomic.Int32

	mu sync.Mutex
	// packed is the newest configuration that was handed on.
	packed *packedConfig
	// silent are the addresses that did not answer last, for the log.
	silent map[string]bool
	busy   map[string]bool
	bytes  int64
}

// New returns a Gossip; call Serve and Run.
func New(cfg Config) *Gossip {
	g := &Gossip{cfg: cfg, silent: make(map[string]bool), busy: make(map[string]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, g.answer)
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: exchangeTimeout, IdleTimeout: keepIdle,
		ErrorLog: cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	return g
}

// keepIdle is for how long a connection between gateways is kept.
const keepIdle = 10 * time.Second

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
	for pause.For(ctx, Interval) {
		g.round(ctx)
	}
}

// round exchanges reports with up to fanout other gateways, all at once.
func (g *Gossip) round(ctx context.Context) {
	addresses := g.cfg.Table.Addresses(g.cfg.Address, g.cfg.Now())
	if len(addresses) > fanout {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:fanout]
	}
	g.fetch(ctx, addresses)
	g.Ask(ctx, addresses)
}

// Ask exchanges reports with other gateways, but for those that are being asked. It
// does not wait for the answers.
func (g *Gossip) Ask(ctx context.Context, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	body := g.report(false)
	for _, address := range addresses {
		if g.begin(address) {
			go g.exchange(ctx, address, body)
		}
	}
}

// Say exchanges reports with all gateways at once and waits for them: for news
// that must not wait for the next round.
func (g *Gossip) Say(ctx context.Context) {
	var all sync.WaitGroup
	body := g.report(false)
	for _, address := range g.cfg.Table.Addresses(g.cfg.Address, g.cfg.Now()) {
		all.Go(func() { g.exchange(ctx, address, body) })
	}
	all.Wait()
}

func (g *Gossip) begin(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy[address] {
		return false
	}
	g.busy[address] = true
	return true
}

func (g *Gossip) end(address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.busy, address)
	if g.silent[address] == (err != nil) {
		return
	}
	g.silent[address] = err != nil
	if err != nil {
		g.cfg.Log.Info("another gateway does not answer", "address", address, "error", err)
	} else {
		g.cfg.Log.Info("another gateway answers", "address", address)
	}
}

// report encodes this gateway's report, once for all that it is sent to.
func (g *Gossip) report(wants bool) []byte {
	now := g.cfg.Now()
	body, err := json.Marshal(message{From: g.cfg.Knowledge.Report(now), Knows: g.cfg.Table.Digest(now), Wants: wants})
	if err != nil {
		// Reports hold nothing that cannot be encoded; the others then say that
		// they got none.
		g.cfg.Log.Error("report not encoded", "error", err)
	}
	return body
}

// exchange sends this gateway's report to another one and takes its answer in.
func (g *Gossip) exchange(ctx context.Context, address string, report []byte) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.call(ctx, address, report)
	g.end(address, err)
	if err == nil {
		g.take(answer)
	}
}

func (g *Gossip) call(ctx context.Context, address string, report []byte) (*message, error) {
	target := httpconn.Target{ID: ident.Instance(address), Address: address}
	answer, failure := g.cfg.Pool.Send(ctx, target, &httpconn.Request{Method: http.MethodPost, URI: path, Host: address, Body: report})
	if failure != nil {
		return nil, failure
	}
	defer answer.Close()
	data, err := io.ReadAll(io.LimitReader(answer, mostMessage))
	if err != nil {
		return nil, pkgerrors.Wrap(err, "read answer")
	}
	if answer.Status != http.StatusOK {
		return nil, pkgerrors.Errorf("status %d", answer.Status)
	}
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, pkgerrors.Wrap(err, "decode answer")
	}
	g.mu.Lock()
	g.bytes += int64(len(report) + len(data))
	g.mu.Unlock()
	return &m, nil
}

// Bytes returns how many bytes of messages were exchanged as a caller.
func (g *Gossip) Bytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

// take takes an answer in.
func (g *Gossip) take(m *message) {
	now, wall := g.cfg.Now(), time.Now()
	g.cfg.Table.Hear(m.From, now, wall)
	g.cfg.Table.Learn(m.Contacts, now)
	var config *ConfigRecord
	if m.Config != nil {
		var err error
		if config, err = m.Config.unpack(); err != nil {
			g.cfg.Log.Error("a gateway's configuration is not usable", "node", m.From.Node, "revision", m.Config.Revision, "error", err)
		}
	}
	if config != nil || m.Upstreams != nil {
		g.cfg.Knowledge.Learn(config, m.Upstreams)
	}
}

// answer takes another gateway's report and gives it what it lacks.
func (g *Gossip) answer(w http.ResponseWriter, r *http.Request) {
	var asked message
	if err := json.NewDecoder(io.LimitReader(r.Body, mostMessage)).Decode(&asked); err != nil {
		g.cfg.Log.Warn("a gateway's report is not valid", "from", r.RemoteAddr, "error", err)
		http.Error(w, "not a report", http.StatusBadRequest)
		return
	}
	now, wall := g.cfg.Now(), time.Now()
	g.cfg.Table.Hear(asked.From, now, wall)
	reply := message{From: g.cfg.Knowledge.Report(now)}
	defer g.hand(&asked, &reply)()
	if asked.Knows != g.cfg.Table.Digest(now) {
		reply.Contacts = g.cfg.Table.Contacts(now)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		g.cfg.Log.Error("report not encoded", "error", err)
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Keep-Alive", keepAliveHeader)
	w.Header().Set("Content-Type", "application/json")
	// The other gateway may be gone; it asks again.
	_, _ = w.Write(body)
}
