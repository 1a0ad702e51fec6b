package entry

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// list reads the newest record of each upstream. An upstream without a record is gone. asOf
// is when the reading began.
func (u *upstreamsFollower) list(ctx context.Context, asOf time.Time) error {
	changes := listingChanges{readAt: asOf}
	batch, err := u.ports.Store.Newest(ctx, u.ports.UpstreamsTopic, func(page platform.KeyedBatch) {
		u.applyPage(page)
		u.applyChanges(ctx, page.End, &changes)
	})
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
	before := u.dir.Next()
	changed := u.dir.ApplyListing(present, batch.End, u.now())
	u.publish(changed)
	u.log.Info("upstreams listed", "count", len(batch.Records), "end", batch.End, "known", before)
	u.logNewEra("store", before)
	u.confirmed, u.behindSince = asOf, time.Time{}
	u.onComplete(asOf)
	return nil
}

// applyPage applies and publishes one page of a listing at once. If the upstreams became
// known only with the last page, a gateway that starts among thousands of upstreams would
// refuse all requests for seconds, although the first page names hundreds that accept work.
func (u *upstreamsFollower) applyPage(page platform.KeyedBatch) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dir.StoreBack(u.now())
	u.dir.BeginEra(page.End, u.now())
	changes, changed := u.applyAll(page.Records)
	u.publish(changed)
	u.logBatch(changes, "listing")
}

// listingChangesInterval is how often the changes since the beginning of a listing are read while it
// goes on. A short listing ends before.
const listingChangesInterval = 300 * time.Millisecond

// listingChanges is the position in the changes since the beginning of a listing.
type listingChanges struct {
	next   ident.Position
	readAt time.Time
}

// applyChanges applies what has changed since the beginning of a listing, at the position begin. The
// pages that were read show no later changes. Without it, a gateway that lists thousands of upstreams
// would for seconds send requests to those that leave meanwhile.
func (u *upstreamsFollower) applyChanges(ctx context.Context, begin ident.Position, since *listingChanges) {
	if u.now().Sub(since.readAt) < listingChangesInterval {
		return
	}
	since.next = since.next.Later(begin)
	batch, err := u.ports.Store.Follow(ctx, u.ports.UpstreamsTopic, since.next, 0)
	since.readAt = u.now()
	if err != nil {
		u.log.Warn("changes during a listing not read", "from", since.next, "error", err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	changes, changed := u.applyAll(batch.Records)
	if n := len(batch.Records); n > 0 {
		since.next = batch.Records[n-1].At.Next()
	}
	u.publish(changed)
	u.logBatch(changes, "changes during a listing")
}
