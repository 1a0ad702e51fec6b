package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

const (
	// The first gateway in line asks the store so often that its view is never
	// older than firstAge, and the others take it over within a round or two of
	// their exchange. A gateway asks by itself when its view becomes older than a
	// part of the time within which a departure is due: the second in line soon,
	// so that it takes over where the first one is cut off from the store, the
	// others later: when the second one's view should have come.
	firstMaxViewAge       = 350 * time.Millisecond
	secondMaxViewAgeShare = 0.35
	otherMaxViewAgeShare  = 0.55
	// viewJitter spreads the gateways that ask for themselves.
	viewJitter = 150 * time.Millisecond
	// storeAwayShare of the same time is how old the view must be for the store to
	// count as away: longer than a gateway that is turned away by the store waits
	// for the others' view, shorter than an entry lives without renewal (3.6 s).
	storeAwayShare = 0.9
)

// maxViewAge is how old the view may become at a gateway with a place in line.
func (u *upstreamsFollower) maxViewAge() time.Duration {
	switch u.rank() {
	case 0:
		return firstMaxViewAge
	case 1:
		return shareOf(u.due, secondMaxViewAgeShare)
	}
	return shareOf(u.due, otherMaxViewAgeShare) + rand.N(viewJitter)
}

func shareOf(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// upstreamsFollower follows the upstreams' entries and publishes them. It is the only
// writer of board.upstreams.
type upstreamsFollower struct {
	ports Ports
	board *board
	// rollouts sees each view before it is used.
	rollouts *rollout.Tracker
	pool     *httpconn.Pool
	now      boottime.Clock
	log      hclog.Logger
	// rank is this gateway's place in line for asking the store.
	rank func() int
	// due is within which time a departure must be followed.
	due    time.Duration
	health storeHealth

	mu  sync.Mutex
	dir *directory.Directory
	// confirmed is when the store, or a peer by its word, confirmed the view.
	confirmed time.Time
	// listed: the newest records were read once in this life.
	listed bool
	// loggedUnusable are the entries that could not be used, and strange those whose service
	// nobody knows, so that each is logged once.
	loggedUnusable, loggedUnknownService onceByKey
}

func newUpstreamsFollower(ports Ports, b *board, rollouts *rollout.Tracker, pool *httpconn.Pool, now boottime.Clock, rank func() int, due time.Duration, log hclog.Logger) *upstreamsFollower {
	return &upstreamsFollower{
		ports: ports, board: b, rollouts: rollouts, pool: pool, now: now, rank: rank, due: due, log: log, health: storeHealth{log: log, topic: ports.UpstreamsTopic},
		dir: directory.New(),
	}
}

// run keeps the view young until ctx ends.
func (u *upstreamsFollower) run(ctx context.Context) {
	u.health.follow(ctx, func(ctx context.Context) (time.Duration, error) {
		if idle := u.maxViewAge() - u.age(); idle > 0 {
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

func (u *upstreamsFollower) age() time.Duration {
	_, age := u.state()
	return age
}

// recordStoreAway notes that the store did not answer. Only where no gateway hears from it
// the upstreams may be unable to renew their entries too.
func (u *upstreamsFollower) recordStoreAway() {
	if u.age() < shareOf(u.due, storeAwayShare) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dir.StoreAway()
}

// read asks the store for what is new, or for all where that is not known.
func (u *upstreamsFollower) read(ctx context.Context) error {
	asked := u.now()
	u.mu.Lock()
	next, listed := u.dir.Next(), u.listed
	u.mu.Unlock()
	if !listed {
		return u.list(ctx, asked)
	}
	batch, err := u.ports.Store.Follow(ctx, u.ports.UpstreamsTopic, next, 0)
	if errors.Is(err, platform.ErrExpired) {
		return u.list(ctx, asked)
	}
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dir.StoreBack(u.now())
	changes, changed := u.applyAll(batch.Records)
	for _, r := range changes {
		u.logEntry(r.ID, r.Offset, r.Upstream, "store")
	}
	if n := len(batch.Records); n > 0 {
		u.dir.Reached(batch.Records[n-1].Offset + 1)
	}
	if batch.End <= u.dir.Next() {
		u.confirmed = asked
	}
	u.publish(changed)
	return nil
}

// list reads the newest record of each upstream. What it does not hold is gone.
func (u *upstreamsFollower) list(ctx context.Context, asked time.Time) error {
	batch, err := u.ports.Store.Newest(ctx, u.ports.UpstreamsTopic, u.applyPage)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listed = true
	present := make(map[ident.Instance]bool, len(batch.Records))
	for _, record := range batch.Records {
		present[ident.Instance(record.Key)] = true
	}
	changed := u.dir.Listed(present, batch.End, u.now())
	u.confirmed = asked
	u.log.Info("upstreams listed", "count", len(batch.Records), "end", batch.End)
	u.publish(changed)
	return nil
}

// applyPage takes a part of a listing in. What goes wrong if the upstreams become known only with
// its last page: a gateway that has just started beside thousands of upstreams refuses all
// requests for seconds, though the first page names hundreds that take work.
func (u *upstreamsFollower) applyPage(records []platform.KeyedRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dir.StoreBack(u.now())
	changes, changed := u.applyAll(records)
	u.logBatch(changes, "store")
	u.publish(changed)
}

// applyAll takes records in and returns those that changed something, and whether any did.
func (u *upstreamsFollower) applyAll(records []platform.KeyedRecord) (changes []directory.Record, changed bool) {
	for _, record := range records {
		change, different := u.applyOne(record)
		changed = changed || different
		if different && change.ID != "" {
			changes = append(changes, change)
		}
	}
	return changes, changed
}

// applyOne takes a record in and reports whether it changed something; the change has no ID
// where the record could not be used.
func (u *upstreamsFollower) applyOne(record platform.KeyedRecord) (directory.Record, bool) {
	name := ident.Instance(record.Key)
	if record.Unreadable == nil && record.Value == nil {
		u.loggedUnusable.reset(record.Key)
		changed := u.dir.Apply(name, record.Offset, nil, u.now())
		return directory.Record{ID: name, Offset: record.Offset}, changed
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
			u.log.Error("upstream's entry not usable", "upstream", name, "offset", record.Offset, "findings", err)
		}
		return directory.Record{}, u.dir.Unreadable(name, record.Offset, u.now())
	}
	u.loggedUnusable.reset(record.Key)
	u.logStrange(record.Key, &entry)
	changed := u.dir.Apply(name, record.Offset, &entry, u.now())
	return directory.Record{ID: entry.ID, Offset: record.Offset, Upstream: &entry}, changed
}

// logStrange tells of an upstream that no route can reach, because its service is not
// in the configuration.
func (u *upstreamsFollower) logStrange(key string, entry *directory.Upstream) {
	table := u.board.table.Value()
	if table == nil {
		return
	}
	if table.Service(entry.Service) != nil {
		u.loggedUnknownService.reset(key)
	} else if u.loggedUnknownService.firstTime(key) {
		u.log.Warn("upstream's service is not in the configuration", "upstream", entry.ID, "service", entry.Service)
	}
}

// maxLinesPerBatch is up to how many changes that come together each get a line of their own.
// What goes wrong without a bound: where thousands of upstreams start or are replaced, each
// of a thousand gateways writes all of them, and that is most of what it does.
const maxLinesPerBatch = 16

// logBatch tells of changes that came together: each in its own line, or where there are
// many, how many there were, and those that left. What the store said of each stands in the
// log of the gateway that read it there.
func (u *upstreamsFollower) logBatch(changes []directory.Record, from string) {
	if len(changes) <= maxLinesPerBatch {
		for _, r := range changes {
			u.logEntry(r.ID, r.Offset, r.Upstream, from)
		}
		return
	}
	var leaving, dropped []ident.Instance
	first, last := changes[0].Offset, changes[0].Offset
	for _, r := range changes {
		first, last = min(first, r.Offset), max(last, r.Offset)
		switch {
		case r.Upstream == nil:
			dropped = append(dropped, r.ID)
		case r.Upstream.State == directory.Leaving:
			leaving = append(leaving, r.ID)
		}
	}
	u.log.Info("upstreams' entries", "changes", len(changes), "first_offset", first, "last_offset", last, "leaving", len(leaving), "dropped", len(dropped),
		"some_leaving", leaving[:min(len(leaving), maxLinesPerBatch)], "some_dropped", dropped[:min(len(dropped), maxLinesPerBatch)], "from", from)
}

// logEntry tells of an upstream's entry that changed something.
func (u *upstreamsFollower) logEntry(id ident.Instance, offset ident.Offset, entry *directory.Upstream, from string) {
	if entry == nil {
		u.log.Info("upstream's entry dropped", "upstream", id, "offset", offset, "from", from)
		return
	}
	u.log.Info("upstream's entry", "upstream", id, "service", entry.Service, "address", entry.Address, "domain", entry.FailureDomain,
		"version", entry.Version, "leaving", entry.State == directory.Leaving, "leaves_ms", entry.LeavesIn.Milliseconds(), "reclaimable", entry.Reclaimable,
		"offset", offset, "from", from)
}

// expire ends the grace of entries that lapsed and reports whether there are more.
func (u *upstreamsFollower) expire() (more bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed, more := u.dir.Expire(u.now())
	u.publish(changed)
	return more
}

// publish puts a new view on the board, and closes the connections to upstreams
// that are gone.
func (u *upstreamsFollower) publish(changed bool) {
	if !changed {
		return
	}
	old := u.board.upstreams.Value()
	view := u.dir.Snapshot(u.now())
	u.rollouts.Observe(view)
	u.board.upstreams.Publish(view)
	for _, id := range old.Gone(view) {
		u.pool.Forget(id)
	}
}

// updateSince returns what another gateway lacks that knows all records before an offset; nil
// where that is all of them and these are not asked for.
func (u *upstreamsFollower) updateSince(from ident.Offset, all bool) *directory.News {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !all && !u.dir.Covers(from) {
		return nil
	}
	news := u.dir.News(from, u.now())
	return &news
}

// needsFetch reports whether another gateway should be asked for all entries: the store does
// not answer this one, and what the others tell by themselves does not bring its view
// up to date.
func (u *upstreamsFollower) needsFetch() bool {
	return u.health.failing() && u.age() > shareOf(u.due, otherMaxViewAgeShare)
}

// applyUpdate takes in what another gateway knows.
func (u *upstreamsFollower) applyUpdate(news directory.News) {
	u.mu.Lock()
	defer u.mu.Unlock()
	changes, changed := u.dir.Take(news, u.now())
	u.logBatch(changes, "gateway")
	if news.Complete {
		u.log.Info("upstreams listed by another gateway", "count", len(news.Records), "end", news.UpTo, "changes", len(changes))
	}
	u.publish(changed)
}

// state returns the offset up to which all is known, and the view's age.
func (u *upstreamsFollower) state() (ident.Offset, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dir.Next(), ageOf(u.confirmed, u.now())
}

// confirmFromPeer takes another gateway's word that the store confirmed a view some time
// ago, where this gateway's view is at least as new.
func (u *upstreamsFollower) confirmFromPeer(next ident.Offset, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if next > 0 && u.dir.Next() >= next && at.After(u.confirmed) {
		u.confirmed = at
		u.dir.StoreBack(at)
	}
}
