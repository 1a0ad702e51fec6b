package origin

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

const (
	// tellTimeout bounds a message to another gateway.
	tellTimeout = 500 * time.Millisecond
	// maxQueued bounds the records that wait for one gateway.
	maxQueued = 4096
	// failureLogInterval is the shortest time between two log lines on gateways that were not told.
	failureLogInterval = time.Second
)

// outbox tells other gateways of streams. What waits for a gateway goes in one message.
type outbox struct {
	now     boottime.Clock
	log     hclog.Logger
	network Network

	mu      sync.Mutex
	waiting map[ident.Instance][]Record
	// busy are the gateways that are being told something.
	busy         map[ident.Instance]bool
	counters     OutboxCounters
	failureLines logthrottle.Throttle
}

// OutboxCounters are totals since the start.
type OutboxCounters struct {
	// Messages and Bytes were sent; Failed messages got no answer. Records were in them, Dropped
	// ones found the queue full.
	Messages, Failed, Records, Dropped, Bytes int64
}

func newOutbox(now boottime.Clock, log hclog.Logger, network Network) *outbox {
	return &outbox{now: now, log: log, network: network, waiting: make(map[ident.Instance][]Record), busy: make(map[ident.Instance]bool)}
}

// send queues a record for a gateway. It does not wait.
func (o *outbox) send(to Peer, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting[to.Node]) >= maxQueued {
		o.counters.Dropped++
		return
	}
	o.waiting[to.Node] = append(o.waiting[to.Node], r)
	if !o.busy[to.Node] {
		o.busy[to.Node] = true
		go o.work(to)
	}
}

// work tells a gateway what waits for it until nothing does.
func (o *outbox) work(to Peer) {
	for {
		records := o.take(to.Node)
		if len(records) == 0 {
			return
		}
		o.tell(to, records)
	}
}

// take returns what waits for a gateway, and ends its work if nothing does.
func (o *outbox) take(node ident.Instance) []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := o.waiting[node]
	delete(o.waiting, node)
	if len(records) == 0 {
		delete(o.busy, node)
	}
	return records
}

func (o *outbox) tell(to Peer, records []Record) {
	data, err := encodeRecords(records, o.now())
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		err = o.network.Tell(ctx, to, data)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Messages++
	o.counters.Records += int64(len(records))
	o.counters.Bytes += int64(len(data))
	if err == nil {
		return
	}
	o.counters.Failed++
	if unlogged, ok := o.failureLines.Pass(o.now(), failureLogInterval); ok {
		o.log.Info("gateway not told which software began streams", "gateway", to.Node, "streams", len(records), "error", err, "unlogged", unlogged)
	}
}

// Counters returns the totals since the start.
func (o *outbox) Counters() OutboxCounters {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counters
}
