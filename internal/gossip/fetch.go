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

// A configuration can be large, and so can the entries of all upstreams: 300 KB take a
// quarter of a second on a link of 10 Mbit/s. If every exchange with a gateway that lacks
// them carried them, then after a change each of sixty gateways would get them from several
// others at once: the links would be blocked for seconds, exchanges would time out and start
// again, and neither the configuration nor departures would arrive in time. So a gateway
// fetches them from one other gateway at a time, only if the store does not provide them, and
// gets the configuration compressed. A small configuration, or a small change of a large one,
// is part of the answer to every gateway that lacks it: otherwise each gateway would ask the
// store for each change.

const (
	// fetchTimeout ends a fetch: several hundred KB compressed, on a slow link that is shared
	// with requests.
	fetchTimeout = 2 * time.Second
	// maxTransfers bounds how many gateways are sent large data at a time.
	maxTransfers = 2
	// smallConfigBytes is the compressed size up to which a configuration counts as small: four
	// packets, about as much as the sums of loads in the same answer.
	smallConfigBytes = 6 << 10
	// maxConfigBytes bounds a configuration.
	maxConfigBytes = 16 << 20
)

// encodedConfig is a ConfigRecord as it is sent.
type encodedConfig struct {
	Revision ident.Revision
	At       ident.Position
	// Gzip is the record's compressed data. It is empty if Patch is set, which turns the data
	// of the earlier revision Base into the record's.
	Gzip  []byte
	Base  ident.Revision
	Patch []byte
}

// compress compresses a configuration. It keeps the last result, because several gateways ask
// for the same configuration.
func (g *Gossip) compress(record *ConfigRecord) (*encodedConfig, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.compressed; c != nil && c.Revision == record.Revision && c.At == record.At {
		return c, nil
	}
	data, err := gzipped.Compress(record.Data, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrapf(err, "compress the configuration of revision %d", record.Revision)
	}
	g.compressed = &encodedConfig{Revision: record.Revision, At: record.At, Gzip: data}
	return g.compressed, nil
}

// decompress is the inverse of compress.
func (c *encodedConfig) decompress() (*ConfigRecord, error) {
	data, err := gzipped.Decompress(c.Gzip, maxConfigBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "decompress the configuration of revision %d", c.Revision)
	}
	return &ConfigRecord{Revision: c.Revision, At: c.At, Data: data}, nil
}

// fetch requests the configuration, or all upstream entries, from one other gateway if this one
// lacks them and no such request is in flight. It prefers gateways with the newest
// configuration and falls back to the given addresses. It does not wait for the answer.
func (g *Gossip) fetch(ctx context.Context, addresses []string) {
	if !g.cfg.Knowledge.NeedsFetch() {
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
		g.cfg.Log.Info("cannot fetch from another gateway", "address", address, "error", err)
		return
	}
	g.handleAnswer(answer, sent)
}

// addMissing adds to an answer what the asker lacks. Large data is added only if the asker
// wants it and fewer than maxTransfers transfers are active; otherwise the asker tries again,
// here or at another gateway. The caller calls done once the answer is sent.
func (g *Gossip) addMissing(request, reply *message) (done func()) {
	large := request.WantsLarge && g.activeTransfers.Add(1) <= maxTransfers
	done = func() {
		if request.WantsLarge {
			g.activeTransfers.Add(-1)
		}
	}
	if reply.From.KnowsMoreUpstreams(&request.From) {
		reply.Upstreams = g.cfg.Knowledge.UpstreamsSince(request.From.UpstreamsKnown, large)
	}
	if record := g.cfg.Knowledge.ConfigSince(request.From.Revision); record != nil {
		if request.AcceptsPatches {
			reply.Config = g.patchFor(request.From.Revision)
		}
		if reply.Config != nil {
			return done
		}
		encoded, err := g.compress(record)
		if err != nil {
			g.cfg.Log.Error("cannot send the configuration to another gateway", "revision", record.Revision, "error", err)
			return done
		}
		if large || len(encoded.Gzip) <= smallConfigBytes {
			reply.Config = encoded
		}
	}
	return done
}

// newestConfig returns the newest revision that fresh gateways report, and the addresses of
// the gateways that have it.
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
