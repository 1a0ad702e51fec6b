package entry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// errWentBack means that the store's log is shorter than before, in the same era.
var errWentBack = errors.New("the store's log went back without a new era")

// eraWait makes a gateway that does not read the store for others wait until they have told what is new in a new
// era. Without it, all gateways of a large fleet would list the store at the same time when it comes back from an
// older copy. The zero value has seen no era.
type eraWait struct {
	seen   ident.Era
	seenAt time.Time
	length time.Duration
}

// waitInNewEra returns for how much longer to wait for others at a time (see eraWait), where the records up to a
// position are known. It is not safe for concurrent use.
func (h *storeHealth) waitInNewEra(known ident.Position, now time.Time) time.Duration {
	newest, w := h.eras.Newest(), &h.newEra
	if h.rank() < waitingReaders || known.IsZero() || newest <= known.Era() {
		return 0
	}
	if newest != w.seen {
		w.seen, w.seenAt, w.length = newest, now, peerHeadStart+h.draw(behindJitter)
	}
	return max(0, w.length-now.Sub(w.seenAt))
}

// logNewEra logs if the entries are of a later era than before, which was known last. u.mu must be held.
func (u *upstreamsFollower) logNewEra(from string, before ident.Position) {
	if known := u.dir.Next(); known.InNewEra(before) {
		u.log.Info("upstreams' entries are of a new era", "known", known, "before", before, "kept_against_copy", u.dir.KeptEntries(), "from", from)
	}
}

// eraState returns a digest of the entries that are kept against an older copy of the store, and where that ended.
func (u *upstreamsFollower) eraState() (kept uint32, copyEnd ident.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dir.KeptDigest(), u.dir.CopyEnd(u.now())
}

// applyCopyEnd applies where the older copy of the store ended that its era began with, as another gateway saw
// it.
func (u *upstreamsFollower) applyCopyEnd(end ident.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.publish(u.dir.LowerCopyEnd(end, u.now()))
}

// keptEntries returns how many entries are kept against an older copy of the store.
func (u *upstreamsFollower) keptEntries() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dir.KeptEntries()
}
