package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
)

const (
	// firstMaxViewAge is the age of its view of the upstreams at which the gateway with
	// rank 0 asks the store. The others receive that view within one or two rounds of
	// their exchange.
	firstMaxViewAge = 350 * time.Millisecond
	// secondMaxViewAgeShare and otherMaxViewAgeShare are the ages at which the gateway
	// with rank 1 and all others ask the store themselves, as shares of the time within
	// which a departure must be followed. The one with rank 1 asks early, so that it
	// takes over if the first one is cut off from the store; the others ask only when the
	// second one's view should have arrived.
	secondMaxViewAgeShare = 0.35
	otherMaxViewAgeShare  = 0.55
	// viewJitter bounds the random delay that spreads the reads of gateways that ask the
	// store only when the other gateways' reports have not confirmed their data in time.
	viewJitter = 150 * time.Millisecond
	// behindJitter bounds the random delay of a gateway that asks the store because others know more and do
	// not send it: those that have listed a new era of the store cannot tell what is new to it.
	behindJitter = 300 * time.Millisecond
	// storeAwayShare is how old the view must be for the store to count as unreachable for
	// all gateways, as a share of the time within which a departure must be followed. It is
	// longer than the time for which a gateway that the store refuses waits for the others'
	// view, and shorter than an entry lives without renewal (3.6 s).
	storeAwayShare = 0.9
)

// maxViewAge returns the age of the view at which this gateway asks the store, by its rank.
func (u *upstreamsFollower) maxViewAge() time.Duration {
	switch u.rank() {
	case 0:
		return firstMaxViewAge
	case 1:
		return shareOf(u.due, secondMaxViewAgeShare)
	}
	return shareOf(u.due, otherMaxViewAgeShare) + u.health.draw(viewJitter)
}

// nextRead returns the time until the next read of the store is due, 0 for now.
func (u *upstreamsFollower) nextRead() time.Duration {
	idle := u.maxViewAge() - u.age()
	u.mu.Lock()
	known, behindSince := u.dir.Next(), u.behindSince
	u.mu.Unlock()
	if !behindSince.IsZero() {
		idle = min(idle, peerHeadStart+u.health.draw(behindJitter)-u.now().Sub(behindSince))
	}
	return max(0, idle, u.health.waitInNewEra(known, u.now()))
}

// shareOf returns a share of d; a share of 1 is all of it.
func shareOf(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// connections are the connections to upstreams.
type connections interface {
	// Forget closes those to an upstream that is gone, and CloseIdle the idle ones to one that leaves.
	Forget(ident.Instance)
	CloseIdle(ident.Instance)
}

// viewObserver gets each view of the upstreams before it is used for requests. age is how long ago it was
// known last that the view before was up to date.
type viewObserver func(view *directory.View, age time.Duration)

// upstreamsFollower follows the upstreams' entries and publishes them. It is the only
// writer of board.upstreams.
type upstreamsFollower struct {
	ports Ports
	board *board
	// announced tells what upstreams announced in their answers.
	announced *announced.Registry
	// observers get each view before it is published.
	observers []viewObserver
	// onComplete is called when the view lists all upstreams, as of a time.
	onComplete func(time.Time)
	conns      connections
	now        boottime.Clock
	log        hclog.Logger
	// rank returns this gateway's rank among those that may ask the store; 0 is first.
	rank func() int
	// due is the time within which the departure of an upstream must be followed.
	due time.Duration
	// renewal is how often upstreams renew their entries.
	renewal time.Duration
	health  storeHealth
	// refreshing is held during a refresh.
	refreshing sync.Mutex

	mu  sync.Mutex
	dir *directory.Directory
	// confirmed is the last time at which, as the store or another gateway confirmed, the
	// view was complete.
	confirmed time.Time
	// behindSince is since when another gateway is known to know later records; zero if none is. They
	// mostly come with its next answer.
	behindSince time.Time
	// listed: this process has read the newest record of each upstream once.
	listed bool
	// loggedUnusable and loggedUnknownService hold the keys of the entries of which it was
	// logged that they could not be used, or that their service is not in the
	// configuration.
	loggedUnusable, loggedUnknownService onceByKey
}

func newUpstreamsFollower(ports Ports, b *board, announcements *announced.Registry, observers []viewObserver, onComplete func(time.Time), conns connections, now boottime.Clock, rank func() int, due, renewal time.Duration, log hclog.Logger) *upstreamsFollower {
	dir := directory.New()
	dir.UseAnnouncements(announcements.Leaving)
	dir.UseRenewal(renewal)
	return &upstreamsFollower{
		ports: ports, board: b, announced: announcements, observers: observers, onComplete: onComplete, conns: conns, now: now, rank: rank, due: due, renewal: renewal, log: log, health: newStoreHealth(ports, ports.UpstreamsTopic, rank, log),
		dir: dir,
	}
}

// run keeps the view up to date until ctx ends.
func (u *upstreamsFollower) run(ctx context.Context) {
	u.health.follow(ctx, func(ctx context.Context) (time.Duration, error) {
		if idle := u.nextRead(); idle > 0 {
			if u.expire() {
				idle = min(idle, minPollInterval)
			}
			return idle, nil
		}
		err := u.read(ctx)
		if err != nil {
			u.recordStoreAway()
		}
		return 0, err
	})
}

// age returns how long ago the view was confirmed; see ageOf.
func (u *upstreamsFollower) age() time.Duration {
	_, age := u.state()
	return age
}

// recordStoreAway records that the store did not answer, if no other gateway has confirmed
// the view for long either. Only then may the upstreams be unable to renew their entries.
func (u *upstreamsFollower) recordStoreAway() {
	if u.age() < shareOf(u.due, storeAwayShare) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dir.StoreAway()
}

// read reads the new records from the store, or lists all upstreams if the position to read
// from is not known, has expired, or is of an earlier era.
func (u *upstreamsFollower) read(ctx context.Context) error {
	asOf := u.now()
	u.mu.Lock()
	next, listed := u.dir.Next(), u.listed
	u.mu.Unlock()
	if !listed || u.ports.Eras.Newest() > next.Era() {
		return u.list(ctx, asOf)
	}
	batch, err := u.ports.Store.Follow(ctx, u.ports.UpstreamsTopic, next, 0)
	switch {
	case errors.Is(err, platform.ErrEraChanged):
		return nil // the next read lists
	case errors.Is(err, platform.ErrExpired):
		return u.list(ctx, asOf)
	case err != nil:
		return err
	}
	if batch.End.Before(next) {
		return errors.Wrapf(errWentBack, "topic %s ends at %v, read up to %v", u.ports.UpstreamsTopic, batch.End, next)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dir.StoreBack(u.now())
	changes, changed := u.applyAll(batch.Records)
	if n := len(batch.Records); n > 0 {
		u.dir.AdvanceTo(batch.Records[n-1].At.Next())
	}
	u.publish(changed)
	for _, r := range changes {
		u.logEntry(r.Name, r.At, r.Upstream, "store")
	}
	if !batch.End.After(u.dir.Next()) {
		u.confirmed = asOf
	}
	u.behindSince = time.Time{}
	return nil
}

// refresh brings the view up to date as of an instant after its call, and reports whether it is. Those that wait for it
// together share a read.
func (u *upstreamsFollower) refresh(ctx context.Context) bool {
	asked := u.now()
	u.refreshing.Lock()
	defer u.refreshing.Unlock()
	upToDate := func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return !u.confirmed.Before(asked)
	}
	for tries := 0; !upToDate() && tries < maxRefreshReads && ctx.Err() == nil; tries++ {
		if err := u.read(ctx); err != nil {
			u.log.Info("upstreams not read for a stream that is taken up", "error", err)
			return false
		}
	}
	return upToDate()
}

// maxRefreshReads bounds the reads for one question: a read may bring a part of the records alone.
const maxRefreshReads = 3

// applyAll applies records. It returns the usable ones that changed something, and whether
// any record did. u.mu must be held.
func (u *upstreamsFollower) applyAll(records []platform.KeyedRecord) (changes []directory.Record, changed bool) {
	for _, record := range records {
		change, different := u.applyOne(record)
		changed = changed || different
		if different && change.Name != "" {
			changes = append(changes, change)
		}
	}
	return changes, changed
}

// applyOne applies a record and reports whether it changed something. The returned record
// has no name if the applied one could not be used. u.mu must be held.
func (u *upstreamsFollower) applyOne(record platform.KeyedRecord) (directory.Record, bool) {
	name := ident.Instance(record.Key)
	if record.Unreadable == nil && record.Value == nil {
		u.loggedUnusable.reset(record.Key)
		changed := u.dir.Apply(name, record.At, nil, u.now())
		return directory.Record{Name: name, At: record.At}, changed
	}
	var entry directory.Upstream
	err := record.Unreadable
	if err == nil {
		var findings finding.List
		entry, findings = u.ports.DecodeUpstream(u.ports.UpstreamsTopic+"/"+record.Key, record.Key, record.Value)
		err = findings.Err()
	}
	if err != nil {
		if u.loggedUnusable.firstTime(record.Key) {
			u.log.Error("upstream's entry not usable", "upstream", name, "position", record.At, "findings", err)
		}
		return directory.Record{}, u.dir.ApplyUnreadable(name, record.At, u.now())
	}
	u.loggedUnusable.reset(record.Key)
	u.logUnknownService(record.Key, &entry)
	changed := u.dir.Apply(name, record.At, &entry, u.now())
	return directory.Record{Name: entry.ID, At: record.At, Upstream: &entry}, changed
}

// expire ends the use of dropped entries whose grace period is over, publishes the view if
// that changed it, and reports whether the grace period of other entries still runs.
func (u *upstreamsFollower) expire() (more bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed, more := u.dir.Expire(u.now(), u.confirmed)
	u.publish(changed)
	return more
}

// publish publishes a new view if something changed, and closes the connections to upstreams
// that are gone. u.mu must be held.
func (u *upstreamsFollower) publish(changed bool) {
	if !changed {
		return
	}
	old := u.board.upstreams.Value()
	view := u.dir.Snapshot(u.now())
	age := ageOf(u.confirmed, u.now())
	for _, observe := range u.observers {
		observe(view, age)
	}
	u.board.upstreams.Publish(view)
	for _, id := range old.MissingFrom(view) {
		u.conns.Forget(id)
		if gone, listed := old.Upstream(id); listed && gone.Born == 0 {
			u.announced.Forget(id)
		}
	}
}

// recordLeaving publishes a view in which upstreams leave that have announced it, and closes the
// idle connections to them.
func (u *upstreamsFollower) recordLeaving(ids []ident.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.publish(u.dir.ShowLeaving(ids))
	for _, id := range ids {
		u.conns.CloseIdle(id)
	}
}

// standing returns what an upstream's entry shows of its process since an instant.
func (u *upstreamsFollower) standing(id ident.Instance, since time.Time) poison.Standing {
	listed, known := u.board.upstreams.Value().Upstream(id)
	switch {
	case !known:
		return poison.Gone
	case listed.State != directory.Ready:
		return poison.Leaving
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.confirmed.Sub(since) >= u.dir.LapseTime() {
		return poison.Renewed
	}
	return poison.Unconfirmed
}

// state returns the position before which all records are known, and the view's age; see ageOf.
func (u *upstreamsFollower) state() (ident.Position, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dir.Next(), ageOf(u.confirmed, u.now())
}
