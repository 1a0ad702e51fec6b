package entry

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// updateSince returns the records that another gateway lacks if it knows all records before
// the position; nil if there are none. If all records would have to be sent, it returns nil unless all is set.
func (u *upstreamsFollower) updateSince(from ident.Position, all bool) *directory.Update {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !all && !u.dir.HasChangesSince(from) {
		return nil
	}
	update := u.dir.UpdateSince(from, u.now())
	if len(update.Records) == 0 && !update.UpTo.After(from) {
		return nil
	}
	return &update
}

// needsFetch reports whether all entries should be requested from another gateway: the store
// does not answer this one, and the other gateways' reports do not bring its view up to date.
func (u *upstreamsFollower) needsFetch() bool {
	return u.health.failing() && u.age() > shareOf(u.due, otherMaxViewAgeShare)
}

// applyUpdate applies the entries that another gateway sent, and publishes the view if they
// change it.
func (u *upstreamsFollower) applyUpdate(update directory.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.dir.Next()
	changes, changed := u.dir.ApplyUpdate(update, u.now())
	if u.dir.Next().After(before) {
		u.behindSince = time.Time{}
	}
	u.publish(changed)
	u.logNewEra("gateway", before)
	u.logBatch(changes, "gateway")
	if update.Complete {
		u.log.Info("upstreams listed by another gateway", "count", len(update.Records), "end", update.UpTo, "changes", len(changes))
		u.onComplete(u.now())
	}
}

// confirmFromPeer records another gateway's report that its view, which knows all records
// before next, was complete at the given time. It counts if this gateway's view is at least
// as new.
func (u *upstreamsFollower) confirmFromPeer(next ident.Position, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.dir.Next()
	switch {
	case next.After(known):
		if u.behindSince.IsZero() {
			u.behindSince = u.now()
		}
	case !next.IsZero() && next.SameEra(known) && at.After(u.confirmed):
		u.confirmed = at
		u.dir.StoreBack(at)
	}
}
