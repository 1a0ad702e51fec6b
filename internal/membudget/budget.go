// Package membudget bounds what callers make a process hold: connections, heads, bodies as they arrive,
// and what the kernel holds of them unread.
//
// All of it is reserved in one Budget before it is held. Where room is short, who holds a share and makes
// no progress yields; whoever makes progress is never cut off for others. docs/design/callers-memory.md
// compares the ways.
package membudget

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// RetryAfter is the retry-after time of who found no room: some is given back all the time.
const RetryAfter = 500 * time.Millisecond

// The errors of a request that gets no room. In both cases it has not been read whole.
var (
	// ErrNoRoom: nobody holds what could yield to the request.
	ErrNoRoom = errors.New("there is no room in the memory for callers")
	// ErrYielded: the request or its connection had to yield, because it made no progress while others
	// needed the room.
	ErrYielded = errors.New("it came too slowly while the memory for callers was short")
)

const (
	// connectionShare is the part of the budget that connections may take by themselves, without
	// requests, so that who keeps connections open leaves room for who sends. bulkShare is the part up to
	// which long bodies get room, so that these leave room for short ones.
	connectionShare = 0.6
	bulkShare       = 0.8
	// bulkBytes is how much a request or a head may hold before it counts as long. Those between smallBytes and
	// that get room up to shortShare, and leave room for still smaller ones.
	bulkBytes  = 64 << 10
	shortShare = 0.9
	smallBytes = 16 << 10
	// stallTime is how long a request makes no progress before it yields to others.
	stallTime = 500 * time.Millisecond
	// sampleSize is among how many connections the one is chosen that yields its place: the choice is made for
	// each newcomer while the house is full, and among all it would take most of the processor's time.
	sampleSize = 64
	// yieldTime bounds how long a request that had to yield takes to end; then its connection is closed.
	yieldTime = time.Second
	// waitTime bounds how long a request waits for the room of those that had to yield.
	waitTime = 2 * yieldTime
	// logInterval is the shortest time between two log lines of a kind.
	logInterval = time.Second
)

// Config holds what a Budget uses. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	// Bytes bounds all that callers make the process hold; see Machine.
	Bytes int64
	// Connections bounds callers' open connections, whatever they hold.
	Connections int
	// ConnectionBytes is what a connection costs beside what the kernel holds of it: its goroutine, its
	// buffers and an ordinary head.
	ConnectionBytes int64
	// MetersHeads: connections carry HTTP/1.1 in plaintext, so that long heads can be told and reserved for.
	MetersHeads bool
}

// Budget holds what callers make a process hold, and its bounds. Create it with New. It is safe for concurrent
// use.
type Budget struct {
	cfg Config

	mu sync.Mutex
	// held is the sum of all shares. Of it, yielding belongs to requests and connections that had to yield and
	// have not ended.
	held, yielding int64
	// awaited is what waiting requests need of what is yielding.
	awaited int64
	// released is closed and replaced when a share becomes smaller while somebody waits.
	released chan struct{}
	waiting  int
	// heads are those of conns on which a long head has not been read whole.
	conns, heads map[*Conn]struct{}
	requests     map[*Request]struct{}
	// fixed is what connections hold by themselves, without heads and windows. Of it, closingFixed belongs to
	// those of conns that had to yield, which are closing many.
	fixed, closingFixed int64
	closing             int
	counters            Counters
	lines               throttles
}

// New returns a Budget of which nothing is held.
func New(cfg Config) *Budget {
	cfg.ConnectionBytes += unreadBytes(smallReceiveBuffer)
	return &Budget{cfg: cfg, released: make(chan struct{}), conns: make(map[*Conn]struct{}), heads: make(map[*Conn]struct{}), requests: make(map[*Request]struct{})}
}

// maxConnections is how many connections callers may have.
func (b *Budget) maxConnections() int {
	return max(1, min(b.cfg.Connections, int(b.fixedLimit()/b.cfg.ConnectionBytes)))
}

// fixedLimit is how much connections may hold by themselves; one at least has room.
func (b *Budget) fixedLimit() int64 {
	return max(b.cfg.ConnectionBytes, int64(connectionShare*float64(b.cfg.Bytes)))
}

// ceiling is up to where a request or a head gets room that holds so much then.
func (b *Budget) ceiling(holds int64) int64 {
	switch {
	case holds > bulkBytes:
		return int64(bulkShare * float64(b.cfg.Bytes))
	case holds > smallBytes:
		return int64(shortShare * float64(b.cfg.Bytes))
	}
	return b.cfg.Bytes
}

// unlock unlocks b.mu, and then makes those yield that were chosen.
func (b *Budget) unlock(yields []func()) {
	b.mu.Unlock()
	for _, yield := range yields {
		yield()
	}
}

// add changes what is held. The caller holds b.mu.
func (b *Budget) add(n int64) {
	b.held += n
	if n < 0 && b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// victim is a request without progress, or a connection on which a long head makes none.
type victim struct {
	held int64
	// cost is how much it holds, times how long it made no progress.
	cost float64
	// evict makes it yield, with the budget's lock held, and returns what to call without it.
	evict func() func()
}

// evict makes requests and long heads without progress yield until so many bytes become free, those first that
// held the most for the longest time. It evicts none if all together are not enough. Who asks, a request or a
// connection, does not yield. The caller holds b.mu and calls the returned functions without it.
func (b *Budget) evict(need int64, asking *Request, askingConn *Conn, now time.Time) (yields []func(), enough bool) {
	victims := b.victims(asking, askingConn, now)
	var found int64
	for _, v := range victims {
		found += v.held
	}
	if found < need {
		return nil, false
	}
	slices.SortFunc(victims, func(x, y victim) int { return cmp.Compare(y.cost, x.cost) })
	for _, v := range victims {
		if need <= 0 {
			break
		}
		need -= v.held
		yields = append(yields, v.evict())
	}
	return yields, true
}

// victims returns what may yield. The caller holds b.mu.
func (b *Budget) victims(asking *Request, askingConn *Conn, now time.Time) []victim {
	var victims []victim
	for r := range b.requests {
		if r != asking && r.stalled(now) {
			victims = append(victims, victim{held: r.held, cost: float64(r.held) * now.Sub(r.since).Seconds(), evict: func() func() {
				b.counters.RequestsYielded++
				b.logYield(r, now)
				r.markYielded()
				return r.stopReading
			}})
		}
	}
	for c := range b.heads {
		if c != askingConn && c.headStalls(now) {
			victims = append(victims, victim{held: c.held, cost: float64(c.held) * now.Sub(c.since).Seconds(), evict: func() func() { return b.evictConn(c, now) }})
		}
	}
	return victims
}

// LongestBody is the longest body for which there can be room, if no configuration bounds it: old and new room
// are held while it grows.
func (b *Budget) LongestBody() int64 { return b.ceiling(bulkBytes+1) / 2 }

// Counters counts what happened since the start.
type Counters struct {
	// RequestsYielded and ConnectionsYielded had to yield. RequestsRefused found no room, and
	// ConnectionsRefused found all places taken by requests that are being answered.
	RequestsYielded, RequestsRefused       int64
	ConnectionsYielded, ConnectionsRefused int64
}

// State is what callers make the process hold at a moment.
type State struct {
	Counters
	Bytes, Limit                int64
	Connections, MaxConnections int
	// Arriving and Answered are the requests whose bodies arrive, and those that are being answered, with
	// what they hold by client account.
	Arriving, Answered int
	ByAccount          map[ident.ClientAccount]int64
}

// State returns the current state.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{
		Counters: b.counters, Bytes: b.held, Limit: b.cfg.Bytes,
		Connections: len(b.conns), MaxConnections: b.maxConnections(), ByAccount: make(map[ident.ClientAccount]int64),
	}
	for r := range b.requests {
		if r.arriving {
			s.Arriving++
		} else {
			s.Answered++
		}
		s.ByAccount[r.account] += r.held
	}
	return s
}
