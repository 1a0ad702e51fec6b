package slotlease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

const (
	// returnTimeout bounds a message that gives slots back.
	returnTimeout = 100 * time.Millisecond
	// lostInterval is the shortest time between two log lines on slots that could not be given back.
	lostInterval = time.Second
)

// returns gives slots back to the gateways that keep them. There is one message in flight for each part; the
// slots that become free meanwhile go with the next one. It is safe for concurrent use.
type returns struct {
	gateway string
	network Network
	log     hclog.Logger
	now     boottime.Clock
	// sent and lost count slots, bytes those of the messages.
	sent, lost, bytes atomic.Int64

	mu sync.Mutex
	// pending are the leases to be given back, by where; a key is present while a message is in flight.
	pending   map[destination][]heldLease
	lostLines logthrottle.Throttle
}

// destination is the keeper of a part.
type destination struct {
	part   partID
	keeper gossip.Contact
}

func newReturns(gateway string, network Network, log hclog.Logger, now boottime.Clock) *returns {
	return &returns{gateway: gateway, network: network, log: log, now: now, pending: make(map[destination][]heldLease)}
}

// add gives a lease back. It doesn't wait.
func (r *returns) add(l heldLease) {
	to := destination{l.part, l.keeper}
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, sending := r.pending[to]
	if len(waiting) >= maxReturned {
		r.lost.Add(1) // it ends by itself
		return
	}
	r.pending[to] = append(waiting, l)
	if !sending {
		go r.run(to)
	}
}

// run sends what is pending for a keeper until nothing is.
func (r *returns) run(to destination) {
	for {
		r.mu.Lock()
		leases := r.pending[to]
		if len(leases) == 0 {
			delete(r.pending, to)
			r.mu.Unlock()
			return
		}
		r.pending[to] = nil
		r.mu.Unlock()
		r.send(to, leases)
	}
}

// send sends one message. A slot that can't be given back becomes free when its lease ends.
func (r *returns) send(to destination, leases []heldLease) {
	m := message{part: to.part, gateway: r.gateway}
	for _, l := range leases {
		switch l.end {
		case endFailed:
			m.failed = append(m.failed, l.number)
		case endFinished:
			m.returned = append(m.returned, l.number)
		default:
			m.unfinished = append(m.unfinished, l.number)
		}
	}
	data, err := m.encode()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		_, err = r.network.SendSlots(ctx, to.keeper, data)
		cancel()
		r.bytes.Add(int64(len(data)))
	}
	if err == nil {
		r.sent.Add(int64(len(leases)))
		return
	}
	r.lost.Add(int64(len(leases)))
	r.mu.Lock()
	unlogged, ok := r.lostLines.Pass(r.now(), lostInterval)
	r.mu.Unlock()
	if ok {
		r.log.Info("slots could not be given back, their leases end by themselves", "keeper", to.keeper.Node, "slots", len(leases), "error", err, "unlogged", unlogged)
	}
}
