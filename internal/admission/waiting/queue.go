// Package waiting orders the calls that wait for a place at a service's upstreams, and says which of them
// is refused if too many wait.
//
// Client accounts share the places by weight, in seconds of a slot; see package fairshare. Within an
// account, calls of a more urgent priority go first, but the less urgent ones together get at least
// Config.ClassShare of what the account gets. Calls of the same priority go in the order of their latest
// start. No call waits for longer than Config.MaxWait.
//
// The package is pure: it has no clock, no goroutine and no lock.
package waiting

import (
	"container/heap"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// lead is how far an account may run ahead of another so that a more urgent call goes first, in calls of
// mean cost; see fairshare.Config. It is small because calls wait for a fraction of a second: an account
// that is passed over for long loses calls, which it can't catch up on.
const lead = 4

// Defaults of Config.
const (
	// DefaultMaxWaiters is more than any service's upstreams serve while its calls wait, and bounds the
	// work of one search through the queue.
	DefaultMaxWaiters = 512
	DefaultMaxWait    = 10 * time.Second
)

// Config bounds a queue. Zero fields take the defaults.
type Config struct {
	// MaxWaiters is the largest number of waiters.
	MaxWaiters int
	// MaxWait bounds each wait, whatever the waiter's latest start.
	MaxWait time.Duration
	// ClassShare is the share of an account's cost, 0 to 1, that its waiters of all priorities but the
	// most urgent get together.
	ClassShare float64
}

func (c Config) withDefaults() Config {
	if c.MaxWaiters <= 0 {
		c.MaxWaiters = DefaultMaxWaiters
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	return c
}

// Waiter is one call that waits. It is in at most one queue.
type Waiter struct {
	Account ident.ClientAccount
	// Weight is the account's weight; 0 or less means 1.
	Weight float64
	// Priority is that of the call; 0 is served first.
	Priority int
	// Cost is what the call takes of a slot, in seconds; it must be more than 0.
	Cost float64
	// ArrivedAt is when the call began to wait. LatestStart is when it gives up; zero means after
	// Config.MaxWait.
	ArrivedAt   time.Time
	LatestStart time.Time
	// Value belongs to the owner of the queue.
	Value any

	item fairshare.Item
	// expiresAt is LatestStart within Config.MaxWait.
	expiresAt time.Time
	// expiryPosition is the index in the heap of expiries plus 1; 0 means not waiting.
	expiryPosition int
}

// Waiting reports whether the waiter is in a queue.
func (w *Waiter) Waiting() bool { return w.expiryPosition > 0 }

// Queue orders waiters. The zero value is not usable; see New.
type Queue struct {
	config   Config
	shares   *fairshare.Queue
	expiries expiryHeap
	// waiters are those of the items in shares.
	waiters map[*fairshare.Item]*Waiter
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config: config.withDefaults(), shares: fairshare.New(fairshare.Config{Lead: lead, ClassShare: config.ClassShare}), waiters: map[*fairshare.Item]*Waiter{},
	}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.expiries) }

// Add adds a waiter. It returns who is refused for it: the waiter itself if its time is over, nil if there
// is room, and in a full queue the last in order of the account that waits for most by its weight, which
// may be the waiter itself. Whoever is returned doesn't wait.
func (q *Queue) Add(w *Waiter, now time.Time) (refused *Waiter) {
	q.prepare(w)
	if !w.expiresAt.After(now) {
		return w
	}
	if q.Len() >= q.config.MaxWaiters {
		candidate := q.shares.EvictionCandidate(&w.item)
		if candidate == nil {
			return w
		}
		refused = q.waiters[candidate]
		q.Remove(refused)
	}
	q.waiters[&w.item] = w
	q.shares.Push(&w.item)
	heap.Push(&q.expiries, w)
	return refused
}

// prepare sets the waiter's item and expiry. In package fairshare a higher priority is more urgent.
func (q *Queue) prepare(w *Waiter) {
	w.expiresAt = w.ArrivedAt.Add(q.config.MaxWait)
	if !w.LatestStart.IsZero() && w.LatestStart.Before(w.expiresAt) {
		w.expiresAt = w.LatestStart
	}
	w.item = fairshare.Item{Account: w.Account, Weight: w.Weight, Priority: -w.Priority, Cost: w.Cost, LatestStart: w.expiresAt}
}

// Next removes and charges the first waiter in order whose time isn't over and that a free place accepts,
// and returns it; nil if there is none. Waiters that aren't accepted keep their place and hold nobody back.
// accepts is called once for each waiter at most, and must not change the queue.
func (q *Queue) Next(now time.Time, accepts func(*Waiter) bool) *Waiter {
	return q.first(now, func(w *Waiter) fairshare.Verdict {
		if accepts(w) {
			return fairshare.Accept
		}
		return fairshare.Skip
	})
}

// first is Next for a judge that may also stop the search.
func (q *Queue) first(now time.Time, judge func(*Waiter) fairshare.Verdict) *Waiter {
	item := q.shares.PopFirst(func(item *fairshare.Item) fairshare.Verdict {
		w := q.waiters[item]
		if !w.expiresAt.After(now) {
			return fairshare.Skip
		}
		return judge(w)
	})
	if item == nil {
		return nil
	}
	w := q.waiters[item]
	q.forget(w)
	return w
}

// Charge charges the account of a call that got a place without waiting.
func (q *Queue) Charge(w *Waiter) { q.shares.Charge(w.Account, w.Weight, w.Cost) }

// Remove removes a waiter without charging it, and reports whether it was waiting here.
func (q *Queue) Remove(w *Waiter) bool {
	if q.waiters[&w.item] != w {
		return false
	}
	q.shares.Remove(&w.item)
	q.forget(w)
	return true
}

func (q *Queue) forget(w *Waiter) {
	delete(q.waiters, &w.item)
	heap.Remove(&q.expiries, w.expiryPosition-1)
}

// KeepAccounts drops what is kept of the accounts without waiters for which inUse returns false.
func (q *Queue) KeepAccounts(inUse func(ident.ClientAccount) bool) { q.shares.KeepAccounts(inUse) }

// Expired removes the waiters whose time is over, and returns them in the order in which it ended.
func (q *Queue) Expired(now time.Time) []*Waiter {
	var expired []*Waiter
	for len(q.expiries) > 0 && !q.expiries[0].expiresAt.After(now) {
		w := q.expiries[0]
		q.Remove(w)
		expired = append(expired, w)
	}
	return expired
}

// NextExpiry returns when the first waiter's time is over, and false if nobody waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiries) == 0 {
		return time.Time{}, false
	}
	return q.expiries[0].expiresAt, true
}

// Waiters returns all waiters, in no order.
func (q *Queue) Waiters() []*Waiter { return slices.Clone(q.expiries) }

// Wait returns the time until a waiter's turn if nobody else arrives and perSecond seconds of slots become
// free each second, which must be more than 0. The waiter may be in the queue or not.
func (q *Queue) Wait(w *Waiter, perSecond float64) time.Duration {
	if !w.Waiting() {
		q.prepare(w)
	}
	return time.Duration(q.shares.Ahead(&w.item) / perSecond * float64(time.Second))
}

// expiryHeap is a heap of waiters by expiry, then by arrival.
type expiryHeap []*Waiter

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if !h[i].expiresAt.Equal(h[j].expiresAt) {
		return h[i].expiresAt.Before(h[j].expiresAt)
	}
	return h[i].ArrivedAt.Before(h[j].ArrivedAt)
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryPosition, h[j].expiryPosition = i+1, j+1
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*Waiter)
	*h = append(*h, w)
	w.expiryPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.expiryPosition = 0
	return w
}
