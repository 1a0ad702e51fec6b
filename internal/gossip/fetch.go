package gossip

import (
	"compress/gzip"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/gzipped"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// A configuration can be large, and the entries of all upstreams too: 300 KB take a
// quarter of a second on a link of 10 Mbit/s. What goes wrong if they are part of each
// exchange with a gateway that lacks them: after a change, each of sixty gateways is
// sent them by several others at once, the links stand still for seconds, exchanges run
// into their timeout and begin again, and neither the configuration nor departures
// arrive in time. So a gateway asks one other at a time, only if the store does not bring
// it, and gets the configuration compressed. A small one, or a small change of a large one,
// is part of the answer to whoever lacks it: otherwise each gateway would ask the store for
// each change.

const (
	// fetchTimeout ends the transfer of a configuration: several hundred KB
	// compressed on a slow link that is shared with requests.
	fetchTimeout = 2 * time.Second
	// maxTransfers is how many gateways are handed the configuration at a time.
	maxTransfers = 2
	// smallConfigBytes is up to how many bytes, compressed, a configuration counts as small:
	// four packets, about as much as the sums of loads beside it.
	smallConfigBytes = 6 << 10
	// maxConfigBytes bounds a configuration, bytes.
	maxConfigBytes = 16 << 20
)

// encodedConfig is a ConfigRecord as it travels.
type encodedConfig struct {
	Revision ident.Revision
	Offset   ident.Offset
	// Gzip is the record's data, compressed; empty where Patch makes it of the data of an
	// earlier revision, Base.
	Gzip  []byte
	Base  ident.Revision
	Patch []byte
}

// compress compresses a configuration. The last one is kept, because others ask for it.
func (g *Gossip) compress(record *ConfigRecord) (*encodedConfig, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.compressed; p != nil && p.Revision == record.Revision && p.Offset == record.Offset {
		return p, nil
	}
	data, err := gzipped.Pack(record.Data, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "the configuration")
	}
	g.compressed = &encodedConfig{Revision: record.Revision, Offset: record.Offset, Gzip: data}
	return g.compressed, nil
}

// decompress is the inverse of pack.
func (p *encodedConfig) decompress() (*ConfigRecord, error) {
	data, err := gzipped.Unpack(p.Gzip, maxConfigBytes)
	if err != nil {
		return nil, errors.Wrap(err, "the configuration")
	}
	return &ConfigRecord{Revision: p.Revision, Offset: p.Offset, Data: data}, nil
}

// fetch asks one other gateway for the configuration, or for all upstreams' entries, if
// this one lacks them, unless it is already asking. It does not wait for the answer.
func (g *Gossip) fetch(ctx context.Context, addresses []string) {
	if !g.cfg.Knowledge.Lacks() {
		return
	}
	_, from := g.cfg.Table.newestConfig(g.cfg.Now())
	if len(from) == 0 {
		from = addresses
	}
	if len(from) == 0 || !g.fetching.CompareAndSwap(false, true) {
		return
	}
	address := from[rand.IntN(len(from))]
	go func() {
		defer g.fetching.Store(false)
		g.fetchFrom(ctx, address)
	}()
}

func (g *Gossip) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := g.cfg.Now()
	answer, err := g.call(ctx, address, g.encodeReport(true))
	if err != nil {
		g.cfg.Log.Info("nothing fetched from another gateway", "address", address, "error", err)
		return
	}
	g.handleAnswer(answer, sent)
}

// addMissing adds to an answer what the asker lacks. What is large it gets only if it wants
// it and its turn has come; otherwise it asks again, or another gateway. Call done when
// the answer is sent.
func (g *Gossip) addMissing(asked, reply *message) (done func()) {
	large := asked.WantsLarge && g.activeTransfers.Add(1) <= maxTransfers
	done = func() {
		if asked.WantsLarge {
			g.activeTransfers.Add(-1)
		}
	}
	if reply.From.Upstreams > asked.From.Upstreams {
		reply.Upstreams = g.cfg.Knowledge.Upstreams(asked.From.Upstreams, large)
	}
	if record := g.cfg.Knowledge.Config(asked.From.Revision); record != nil {
		if asked.AcceptsPatches {
			reply.Config = g.patchFor(asked.From.Revision)
		}
		if reply.Config != nil {
			return done
		}
		packed, err := g.compress(record)
		if err != nil {
			g.cfg.Log.Error("configuration not handed on", "revision", record.Revision, "error", err)
			return done
		}
		if large || len(packed.Gzip) <= smallConfigBytes {
			reply.Config = packed
		}
	}
	return done
}

// newestConfig returns the newest revision among the gateways that are heard, and the
// addresses of those that have it.
func (t *Table) newestConfig(now time.Time) (ident.Revision, []string) {
	newest := ident.Revision(0)
	var addresses []string
	for _, m := range t.DirectPeers(now).Fresh {
		switch r := m.Report.Revision; {
		case r == 0 || r < newest:
		case r > newest:
			newest, addresses = r, []string{m.Report.Address}
		default:
			addresses = append(addresses, m.Report.Address)
		}
	}
	return newest, addresses
}
