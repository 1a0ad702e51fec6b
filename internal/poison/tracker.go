// Package poison finds requests that end the processes of the upstreams that run them, and
// keeps them from further ones.
//
// Such a request comes again and again, at any gateway, under new IDs; what it asks for
// stays the same (ident.Content). All that is in progress at an upstream ends with it, so
// that each of up to its slots' number of requests may be the cause. Gateways tell each
// other which contents they had there. A content is found to be the cause where it explains
// at least three ends in a row better than any other does; the ends that a found content
// explains say nothing against those that ran beside it.
//
// It is a fold without I/O; what gateways tell each other may come late, twice and in any
// order.
package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// minCrashes ends in a row say that a content is the cause.
	minCrashes = 3
	// settleTime is how old an end must be before it counts: by then all gateways have told
	// what they had there. What goes wrong without it: a gateway knows all of the ends that
	// one of its own requests met by being sent again, and not yet what else was at each.
	settleTime = 750 * time.Millisecond
	// sameEnd: what two gateways say of an upstream is of one end if it is no further
	// apart. An upstream's process takes longer to start again.
	sameCrashWindow = time.Second
	// crashTTL is for how long an end is held against what was there.
	crashTTL = 10 * time.Minute
	// ForgetAfter is for how long a content must stay away before it is tried again.
	ForgetAfter = 10 * time.Minute
	// maxCrashes and mostVerdicts bound what is remembered, also while someone sends
	// many different requests that end upstreams.
	maxCrashes  = 64
	maxVerdicts = 256
)

// Config is what a Tracker works with. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	// Key returns what stands for an upstream's ID between gateways.
	Key func(ident.Instance) uint32
}

// Tracker is what one gateway knows of requests that end upstreams. It is safe for
// concurrent use.
type Tracker struct {
	cfg Config
	// quiet: nothing is known, so that nothing must be asked about a request.
	empty atomic.Bool

	mu      sync.Mutex
	crashes []*crash
	// suspects are the contents with the ends that count against them, unless dirty: what
	// they follow from has changed.
	suspects map[ident.Content]*suspect
	dirty    bool
	// outlines are those of what was at ends and of verdicts, so that requests unlike them
	// are let by without a look at their bodies.
	outlinesMu sync.RWMutex
	outlines   map[ident.Outline]bool
	// verdicts are by content.
	verdicts map[ident.Content]*verdict
	// inFlight counts the requests in progress whose content is suspected, by upstream.
	inFlight map[ident.Content]map[ident.Instance]int
	// reportCursor is how many verdicts were told so far, for their turns.
	reportCursor   int
	counts Counters
}

// Counters count what a Tracker saw and did.
type Counters struct {
	// Crashes are ends of upstreams under requests, Found contents that were found to be
	// the cause, Refused the requests that were kept from upstreams.
	Crashes, Found, Refused int64
}

// crash is the end of an upstream's process.
type crash struct {
	upstream uint32
	at       time.Time
	// marks are of the requests that were there, and own those of this gateway, in order.
	marks, ownMarks []ident.Mark
	// lastOwnAt is when the last of them was noted, for how long they are told.
	lastOwnAt time.Time
	// topConvicted is the total of the likeliest found content that was there; zero if none was.
	topConvicted tally
}

// verdict is what was found of a content.
type verdict struct {
	at time.Time
	// lastSeen is when a request with the content came last, at any gateway.
	lastSeen time.Time
	// cleared: nothing up to at counts against the content.
	cleared bool
	// told: the others need to know. Most contents come to one gateway alone.
	shared bool
}

// New returns a Tracker that knows nothing.
func New(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, suspects: make(map[ident.Content]*suspect), verdicts: make(map[ident.Content]*verdict), inFlight: make(map[ident.Content]map[ident.Instance]int), outlines: make(map[ident.Outline]bool)}
	t.empty.Store(true)
	return t
}

// Quiet reports whether nothing is known, so that no request needs to be asked about.
func (t *Tracker) Quiet() bool { return t.empty.Load() }

// Knows reports whether anything is known of requests with an outline.
func (t *Tracker) Knows(outline ident.Outline) bool {
	t.outlinesMu.RLock()
	defer t.outlinesMu.RUnlock()
	return t.outlines[outline]
}

// rebuildOutlines works the outlines out anew.
func (t *Tracker) rebuildOutlines() {
	all := make(map[ident.Outline]bool)
	for _, c := range t.crashes {
		for _, mark := range c.marks {
			all[mark.Content().Outline()] = true
		}
	}
	for content := range t.verdicts {
		all[content.Outline()] = true
	}
	t.outlinesMu.Lock()
	t.outlines = all
	t.outlinesMu.Unlock()
	t.empty.Store(len(all) == 0)
}

// Crashed notes that an upstream's process ended while it had one of this gateway's
// requests.
func (t *Tracker) Crashed(upstream ident.Instance, mark ident.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	key := t.cfg.Key(upstream)
	c := t.findOrAddCrash(key, now)
	c.ownMarks, _ = insertSorted(c.ownMarks, mark)
	c.lastOwnAt = now
	t.addMark(c, mark)
	t.outlinesMu.Lock()
	t.outlines[mark.Content().Outline()] = true
	t.outlinesMu.Unlock()
	t.empty.Store(false)
}

// findOrAddCrash returns what is known of an upstream's end at an instant.
func (t *Tracker) findOrAddCrash(upstream uint32, at time.Time) *crash {
	for i := len(t.crashes) - 1; i >= 0; i-- {
		if c := t.crashes[i]; c.upstream == upstream && c.at.Sub(at).Abs() < sameCrashWindow {
			return c
		}
	}
	c := &crash{upstream: upstream, at: at}
	t.crashes = append(t.crashes, c)
	t.counts.Crashes++
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
		t.dirty = true
	}
	return c
}

// maxMarksPerCrash bounds what is remembered of one end.
const maxMarksPerCrash = 256

// addMark notes that a request was at an end.
func (t *Tracker) addMark(c *crash, mark ident.Mark) {
	if len(c.marks) >= maxMarksPerCrash {
		return
	}
	var isNew bool
	if c.marks, isNew = insertSorted(c.marks, mark); isNew {
		t.dirty = true
	}
}

// insertSorted puts a mark into a sorted list and reports whether it was not there.
func insertSorted(list []ident.Mark, mark ident.Mark) ([]ident.Mark, bool) {
	i, found := slices.BinarySearch(list, mark)
	if found {
		return list, false
	}
	return slices.Insert(list, i, mark), true
}

// Completed notes that a request with a content was answered whole: it does not end what
// runs it.
func (t *Tracker) Completed(content ident.Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	barred := t.isConvicted(content, now)
	if n, _ := t.crashesAgainst(content, now); n == 0 && !barred {
		return
	}
	t.clearContent(content, barred || t.reportedElsewhere(content), now)
	if barred {
		t.cfg.Log.Warn("request that was found to end upstreams was answered whole", "content", content)
	}
}

// reportedElsewhere reports whether other gateways had a suspected content at an end too.
func (t *Tracker) reportedElsewhere(content ident.Content) bool {
	return slices.ContainsFunc(t.suspects[content].unexplained, func(c *crash) bool {
		return slices.ContainsFunc(c.marks, func(mark ident.Mark) bool {
			_, own := slices.BinarySearch(c.ownMarks, mark)
			return mark.Content() == content && !own
		})
	})
}

// clearContent makes all ends up to now say nothing against a content.
func (t *Tracker) clearContent(content ident.Content, tell bool, now time.Time) {
	t.verdicts[content] = &verdict{at: now, lastSeen: now, cleared: true, shared: tell}
	t.limitVerdicts()
	t.dirty = true
}

// clearedAt is until when nothing counts against a content.
func (t *Tracker) clearedAt(content ident.Content) time.Time {
	if v := t.verdicts[content]; v != nil && v.cleared {
		return v.at
	}
	return time.Time{}
}

func (t *Tracker) isConvicted(content ident.Content, now time.Time) bool {
	v := t.verdicts[content]
	return v != nil && !v.cleared && now.Sub(v.lastSeen) < ForgetAfter
}

// Barred reports whether a request with a content must not run, and when it may come back.
func (t *Tracker) Barred(content ident.Content) (after time.Duration, barred bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.barIfConvicted(content)
}

func (t *Tracker) barIfConvicted(content ident.Content) (time.Duration, bool) {
	now := t.cfg.Now()
	if !t.isConvicted(content, now) {
		return 0, false
	}
	t.verdicts[content].lastSeen = now
	t.counts.Refused++
	return ForgetAfter, true
}

// Clear is an operator's word that a content is harmless; it reports whether the content
// was barred.
func (t *Tracker) Clear(content ident.Content) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if !t.isConvicted(content, now) {
		return false
	}
	t.clearContent(content, true, now)
	t.cfg.Log.Warn("request cleared by an operator", "content", content)
	return true
}

// Refresh takes in what the other gateways tell, finds what is to be found, and forgets
// what is old.
func (t *Tracker) Refresh(words Words) {
	if words.Empty() && t.empty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for i := range words.Crashes {
		t.mergeCrash(&words.Crashes[i], now)
	}
	for i := range words.Verdicts {
		t.mergeVerdict(&words.Verdicts[i], now)
	}
	changed := t.dirty
	t.convictCauses(now)
	t.expire(now)
	if changed || t.dirty {
		t.rebuildOutlines()
	}
}

func (t *Tracker) mergeCrash(told *Crash, now time.Time) {
	if told.Age >= crashTTL {
		return
	}
	c := t.findOrAddCrash(told.Upstream, now.Add(-told.Age))
	for _, mark := range told.Marks {
		t.addMark(c, mark)
	}
}

// mergeVerdict takes the later of two verdicts.
func (t *Tracker) mergeVerdict(told *Verdict, now time.Time) {
	if told.Idle >= ForgetAfter {
		return
	}
	at, seen := now.Add(-told.Age), now.Add(-told.Idle)
	known := t.verdicts[told.Content]
	if known != nil {
		known.lastSeen = boottime.Later(known.lastSeen, seen)
		if !supersedes(told.Cleared, at, known.cleared, known.at) {
			return
		}
		seen = known.lastSeen
	}
	t.verdicts[told.Content] = &verdict{at: at, lastSeen: seen, cleared: told.Cleared, shared: true}
	t.limitVerdicts()
	t.dirty = true
	if !told.Cleared || known != nil && !known.cleared {
		t.cfg.Log.Info("told of a request that ends upstreams", "content", told.Content, "cleared", told.Cleared,
			"age_ms", told.Age.Milliseconds(), "idle_ms", told.Idle.Milliseconds())
	}
}

// ageTolerance is by how much ages that came by way of others are off.
const ageTolerance = 100 * time.Millisecond

// supersedes reports whether a verdict replaces a known one. Of two at about the same time
// the one that clears stands: an answer proves more than ends do, and further ends speak
// for themselves.
func supersedes(cleared bool, at time.Time, knownCleared bool, knownAt time.Time) bool {
	switch {
	case cleared && !knownCleared:
		return at.After(knownAt.Add(-ageTolerance))
	case cleared || knownCleared:
		return at.After(knownAt.Add(ageTolerance))
	}
	return false
}

// expire drops what is too old to matter.
func (t *Tracker) expire(now time.Time) {
	kept := t.crashes[:0]
	for _, c := range t.crashes {
		if now.Sub(c.at) < crashTTL {
			kept = append(kept, c)
		}
	}
	forgot := len(kept) < len(t.crashes)
	clear(t.crashes[len(kept):])
	t.crashes = kept
	for content, v := range t.verdicts {
		if now.Sub(v.lastSeen) >= ForgetAfter || v.cleared && now.Sub(v.at) >= crashTTL {
			delete(t.verdicts, content)
			forgot = true
		}
	}
	if forgot {
		t.dirty = true
	}
}

// limitVerdicts drops the verdict whose content stayed away for longest.
func (t *Tracker) limitVerdicts() {
	for len(t.verdicts) > maxVerdicts {
		var oldest ident.Content
		for content, v := range t.verdicts {
			if o := t.verdicts[oldest]; o == nil || v.cleared && !o.cleared || v.cleared == o.cleared && v.lastSeen.Before(o.lastSeen) {
				oldest = content
			}
		}
		delete(t.verdicts, oldest)
	}
}

// Counters returns what was counted so far.
func (t *Tracker) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
