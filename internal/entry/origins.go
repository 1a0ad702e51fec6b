package entry

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
)

// URL paths of messages about streams, on the gateways' own listener.
const (
	originsPath        = "/origins"
	originQuestionPath = "/origins/question"
)

// originNetwork implements origin.Network.
type originNetwork struct{ pool *httpconn.Pool }

// Tell implements origin.Network.
func (n originNetwork) Tell(ctx context.Context, to origin.Peer, records []byte) error {
	_, err := gossip.HTTPNetwork{Pool: n.pool, Path: originsPath}.Send(ctx, to.Address, records)
	return err
}

// Ask implements origin.Network.
func (n originNetwork) Ask(ctx context.Context, to origin.Peer, question []byte) ([]byte, error) {
	return gossip.HTTPNetwork{Pool: n.pool, Path: originQuestionPath}.Send(ctx, to.Address, question)
}

// originMessages returns what serves the other gateways' messages about streams.
func (p *Process) originMessages() map[string]gossip.MessageServer {
	return map[string]gossip.MessageServer{
		originsPath:        func(_ context.Context, records []byte) ([]byte, error) { return nil, p.origins.Told(records) },
		originQuestionPath: func(_ context.Context, question []byte) ([]byte, error) { return p.origins.Answer(question) },
	}
}

// refreshOriginPeers updates which other gateways are told of streams and asked about them.
func (p *Process) refreshOriginPeers(now time.Time) {
	var peers []origin.Peer
	for _, other := range p.gossip.Peers(now) {
		peers = append(peers, origin.Peer{Node: other.Node, Domain: other.Domain, Address: other.Address, Incarnation: other.Incarnation, Leaving: other.Leaving})
	}
	p.origins.SetPeers(peers)
}

// writeOriginMetrics prints the counters of what is known of streams' software.
func (p *Process) writeOriginMetrics(w io.Writer) {
	c := p.origins.Counters()
	fmt.Fprintf(w, "streams_remembered %d\nstreams_forgotten_early_total %d\nstream_origin_messages_total %d\nstream_origin_messages_failed_total %d\n"+
		"stream_origin_records_total %d\nstream_origin_records_dropped_total %d\nstream_origin_bytes_total %d\nstream_origin_questions_total %d\n"+
		"stream_origin_questions_unanswered_total %d\nstreams_not_known_total %d\n",
		c.Remembered, c.Evicted, c.Messages, c.Failed, c.Records, c.Dropped, c.Bytes, c.Asked, c.Unanswered, c.NotKnown)
}
