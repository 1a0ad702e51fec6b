package slotlease

import (
	"math"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/waiting"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// queuedPerSlot is how many requests may wait at an upstream for each of its slots, one at least. They
	// start while the slot that became free is given back and leased again.
	queuedPerSlot = 1.0 / 8
	// minHandover is the shortest time within which the requests end that were in progress when a keeper began.
	// Reports of them are about that old.
	minHandover = 300 * time.Millisecond
	// handoverStep is how often a keeper looks during the handover whether some have ended.
	handoverStep = 20 * time.Millisecond
	// holdSampleWeight is the weight of the newest sample in the mean time for which a lease is held.
	holdSampleWeight = 0.05
	// initialCost is the cost of a call, in seconds of a slot, until a lease has been given back.
	initialCost = 0.1
	// failurePause is how long a slot stays taken after its upstream failed or refused an attempt.
	failurePause = 300 * time.Millisecond
	// maxHold bounds leases, whatever the asks say.
	maxHold = 10 * time.Minute
)

// Keeper leases the slots of a service's upstreams. It is not safe for concurrent use. Its methods return the
// asks that they decided.
type Keeper struct {
	upstreams []*keptUpstream
	leases    map[LeaseID]lease
	queue     *waiting.Queue
	waiters   map[LeaseID]*waiting.Waiter
	// began is when the keeper began, and handover the time within which the requests end that were in progress
	// then.
	began    time.Time
	handover time.Duration
	// meanHold is the mean time for which a lease is held, in seconds; 0 if unknown.
	meanHold float64
	// nextEnd is not later than the end of any lease; zero if there is none.
	nextEnd time.Time
}

// keptUpstream is an upstream with what is in progress there.
type keptUpstream struct {
	Upstream
	leased int
	// earlier is how many requests were in progress when the keeper began.
	earlier int
}

// lease is a slot that a gateway holds.
type lease struct {
	upstream ident.Instance
	since    time.Time
	end      time.Time
}

// NewKeeper returns a keeper of upstreams. inProgress returns how many requests gateways reported to have at
// one; a keeper that takes over counts them as leased until they have ended, less and less over work, the mean
// time that a request takes; 0 if it isn't known.
func NewKeeper(upstreams []Upstream, inProgress func(ident.Instance) int, work time.Duration, now time.Time) *Keeper {
	k := &Keeper{
		leases: make(map[LeaseID]lease), queue: waiting.New(waiting.Config{}), waiters: make(map[LeaseID]*waiting.Waiter),
		began: now, handover: min(max(minHandover, work), maxHold),
	}
	for _, u := range upstreams {
		k.upstreams = append(k.upstreams, &keptUpstream{Upstream: u, earlier: inProgress(u.ID)})
	}
	return k
}

// SetUpstreams replaces the upstreams. Leases at those that are gone last until they end.
func (k *Keeper) SetUpstreams(upstreams []Upstream, now time.Time) []Decision {
	kept := make([]*keptUpstream, len(upstreams))
	for i, u := range upstreams {
		kept[i] = &keptUpstream{Upstream: u}
		if before := k.find(u.ID); before != nil {
			kept[i].leased, kept[i].earlier = before.leased, before.earlier
		} else {
			kept[i].leased = k.countLeases(u.ID)
		}
	}
	k.upstreams = kept
	return k.grantWaiting(now)
}

// Ask decides on an ask, or lets it wait.
func (k *Keeper) Ask(a Ask, now time.Time) []Decision {
	if l, known := k.leases[a.ID]; known {
		return []Decision{{a.ID, Answer{Upstream: l.upstream}}} // a repeated message
	}
	if k.waiters[a.ID] != nil {
		return nil
	}
	decided := k.Tick(now)
	w := &waiting.Waiter{Account: a.Account, Priority: a.Priority, Cost: k.cost(), ArrivedAt: now, LatestStart: now.Add(a.Wait), Value: a}
	if u := k.freeUpstream(a, now); u != nil {
		k.queue.Charge(w)
		return append(decided, k.grant(a, u, now))
	}
	if wait := k.timeUntil(w, a); wait > a.Wait || k.slotsFor(a) == 0 {
		return append(decided, Decision{a.ID, Answer{RetryAfter: wait}})
	}
	k.waiters[a.ID] = w
	if refused := k.queue.Add(w, now); refused != nil {
		decided = append(decided, k.refuse(refused))
	}
	return decided
}

// Return takes a lease back whose request has ended, or withdraws an ask that waits.
func (k *Keeper) Return(id LeaseID, now time.Time) []Decision {
	if l, known := k.leases[id]; known {
		k.learnHold(now.Sub(l.since).Seconds())
	}
	return k.Withdraw(id, now)
}

// Withdraw withdraws an ask that waits, or takes a lease back for which no request ran to its end. The time for
// which such a lease is held says nothing about how long requests take.
func (k *Keeper) Withdraw(id LeaseID, now time.Time) []Decision {
	if w := k.waiters[id]; w != nil {
		delete(k.waiters, id)
		k.queue.Remove(w)
		return nil
	}
	l, known := k.leases[id]
	if !known {
		return nil // it has ended by itself
	}
	k.end(id, l)
	return k.Tick(now)
}

// Fail takes a lease back whose upstream failed or refused the attempt. The slot stays taken for failurePause:
// otherwise an upstream that fails at once would have the fewest requests, and get all of them.
func (k *Keeper) Fail(id LeaseID, now time.Time) []Decision {
	l, known := k.leases[id]
	if !known {
		return k.Withdraw(id, now)
	}
	l.end = now.Add(failurePause)
	k.leases[id] = l
	k.nextEnd = earlier(k.nextEnd, l.end)
	return k.Tick(now)
}

// earlier returns the earlier of two times; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Tick refuses the asks whose time is over, ends the leases that have lasted too long and grants what is free
// then. It must be called at NextTick.
func (k *Keeper) Tick(now time.Time) []Decision {
	var decided []Decision
	for _, w := range k.queue.Expired(now) {
		decided = append(decided, k.refuse(w))
	}
	k.endOverdue(now)
	return append(decided, k.grantWaiting(now)...)
}

// NextTick returns when Tick must be called at the latest, and false if nothing is awaited.
func (k *Keeper) NextTick(now time.Time) (time.Time, bool) {
	next, waits := k.queue.NextExpiry()
	if !k.nextEnd.IsZero() && (!waits || k.nextEnd.Before(next)) {
		next = k.nextEnd
	}
	if step := now.Add(handoverStep); waits && now.Sub(k.began) < k.handover && step.Before(next) {
		next = step
	}
	return next, !next.IsZero()
}

// Idle reports whether there are no leases and no asks.
func (k *Keeper) Idle() bool { return len(k.leases) == 0 && len(k.waiters) == 0 }

// endOverdue ends the leases that have lasted too long: their gateway was killed, or its message was lost.
func (k *Keeper) endOverdue(now time.Time) {
	if k.nextEnd.IsZero() || now.Before(k.nextEnd) {
		return
	}
	k.nextEnd = time.Time{}
	for id, l := range k.leases {
		if !now.Before(l.end) {
			k.end(id, l)
		} else {
			k.nextEnd = earlier(k.nextEnd, l.end)
		}
	}
}

func (k *Keeper) end(id LeaseID, l lease) {
	delete(k.leases, id)
	if u := k.find(l.upstream); u != nil {
		u.leased--
	}
}

// grantWaiting grants free slots to the asks that wait, in the order of the queue.
func (k *Keeper) grantWaiting(now time.Time) []Decision {
	var decided []Decision
	for k.queue.Len() > 0 && k.anyFree(now) {
		var free *keptUpstream
		w := k.queue.Next(now, func(w *waiting.Waiter) bool {
			free = k.freeUpstream(w.Value.(Ask), now)
			return free != nil
		})
		if w == nil {
			break
		}
		a := w.Value.(Ask)
		delete(k.waiters, a.ID)
		decided = append(decided, k.grant(a, free, now))
	}
	return decided
}

// anyFree reports whether any upstream has a free slot.
func (k *Keeper) anyFree(now time.Time) bool {
	return slices.ContainsFunc(k.upstreams, func(u *keptUpstream) bool { return k.running(u, now) < room(u.Slots) })
}

// KeepAccounts drops what is kept of the accounts without asks that are not in use.
func (k *Keeper) KeepAccounts(inUse func(ident.ClientAccount) bool) { k.queue.KeepAccounts(inUse) }

// freeUpstream returns the upstream with a free slot that has the fewest requests for each of its slots among
// those that an ask may use; nil if there is none.
func (k *Keeper) freeUpstream(a Ask, now time.Time) *keptUpstream {
	var best *keptUpstream
	lowest := math.Inf(1)
	for _, u := range k.upstreams {
		running := k.running(u, now)
		if running >= room(u.Slots) || slices.Contains(a.Avoid, u.ID) {
			continue
		}
		load := float64(running) / float64(u.Slots)
		if load < lowest || load == lowest && u.Domain == a.Domain && best.Domain != a.Domain {
			best, lowest = u, load
		}
	}
	return best
}

// room returns how many requests an upstream gets that has so many slots.
func room(slots int) int {
	if slots <= 0 {
		return 0
	}
	return slots + max(1, int(queuedPerSlot*float64(slots)))
}

// running returns how many requests there are at an upstream.
func (k *Keeper) running(u *keptUpstream, now time.Time) int {
	left := 1 - now.Sub(k.began).Seconds()/k.handover.Seconds()
	return u.leased + int(math.Ceil(float64(u.earlier)*max(0, left)))
}

func (k *Keeper) grant(a Ask, u *keptUpstream, now time.Time) Decision {
	u.leased++
	end := now.Add(min(a.Hold, maxHold))
	k.leases[a.ID] = lease{upstream: u.ID, since: now, end: end}
	k.nextEnd = earlier(k.nextEnd, end)
	return Decision{a.ID, Answer{Upstream: u.ID}}
}

func (k *Keeper) refuse(w *waiting.Waiter) Decision {
	a := w.Value.(Ask)
	delete(k.waiters, a.ID)
	return Decision{a.ID, Answer{RetryAfter: k.timeUntil(w, a)}}
}

// timeUntil returns the time until a waiter's turn if nobody else arrives; 0 if that isn't known.
func (k *Keeper) timeUntil(w *waiting.Waiter, a Ask) time.Duration {
	slots := k.slotsFor(a)
	if slots == 0 || k.meanHold == 0 {
		return 0
	}
	return k.queue.Wait(w, float64(slots))
}

// slotsFor returns how many slots the upstreams have that an ask may use.
func (k *Keeper) slotsFor(a Ask) int {
	slots := 0
	for _, u := range k.upstreams {
		if !slices.Contains(a.Avoid, u.ID) {
			slots += u.Slots
		}
	}
	return slots
}

// cost returns the cost of a call in seconds of a slot.
func (k *Keeper) cost() float64 {
	if k.meanHold > 0 {
		return k.meanHold
	}
	return initialCost
}

func (k *Keeper) learnHold(seconds float64) {
	if k.meanHold == 0 {
		k.meanHold = seconds
		return
	}
	k.meanHold += holdSampleWeight * (seconds - k.meanHold)
}

func (k *Keeper) find(id ident.Instance) *keptUpstream {
	for _, u := range k.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

func (k *Keeper) countLeases(id ident.Instance) int {
	n := 0
	for _, l := range k.leases {
		if l.upstream == id {
			n++
		}
	}
	return n
}
