package gossip

import (
	"context"
	"time"

	pkgerrors "github.com/pkg/errors"
)

// exchange sends a request to another gateway and applies its answer.
func (g *Gossip) exchange(ctx context.Context, address string, request []byte) {
	sent := g.cfg.Now()
	answer, err := g.callWithTimeout(ctx, exchangeTimeout, address, request)
	g.endExchange(address)
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

// decodeFrom decodes a message of another gateway. It logs the first invalid one and no more
// until a valid one comes: a gateway of an older build would fill the log otherwise.
func (g *Gossip) decodeFrom(from string, data []byte) (*message, error) {
	var m *message
	err := pkgerrors.Errorf("message exceeds %d bytes", maxMessageBytes)
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
		g.cfg.Log.Warn("ignored an invalid message from another gateway", "from", from, "bytes", len(data), "error", err)
	}
	return nil, err
}

// maxInvalidSenders bounds the senders of invalid messages that are remembered.
const maxInvalidSenders = 1000

// handleAnswer applies the answer to a request that was sent at the given instant. How long
// the answer took is unknown, so its ages count from the sending of the request. If they
// counted from the arrival, two collectors that exchange sums eight times a second over a
// delay of 0.1 s would make a view younger with each exchange, and the store would no longer
// be read.
func (g *Gossip) handleAnswer(m *message, sent time.Time) {
	now, wall := g.cfg.Now(), time.Now()
	// What the report confirms counts only once the data that this gateway lacked is applied.
	defer g.cfg.Knowledge.ApplyReport(&m.From, sent)
	g.cfg.Table.RecordReport(m.From, now, wall)
	g.cfg.Table.AddContacts(m.Contacts, now)
	g.applyCollectorAnswer(m, now, wall)
	if len(m.Counts) > 0 {
		g.cfg.Knowledge.ApplyCounts(m.Counts)
	}
	var config *ConfigRecord
	if m.Config != nil {
		var err error
		if config, err = g.decodeConfig(m.Config); err != nil {
			g.cfg.Log.Error("cannot decode the configuration that a gateway sent", "node", m.From.Node, "revision", m.Config.Revision, "error", err)
		}
	}
	if config != nil || m.Upstreams != nil {
		g.cfg.Knowledge.ApplyUpdates(config, m.Upstreams)
	}
}
