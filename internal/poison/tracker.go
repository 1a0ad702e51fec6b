// Package poison detects poison requests, which crash the processes of the upstreams that run
// them, and bars them from further upstreams.
//
// A poison request arrives again and again, at any gateway, under new IDs; what it asks for, its
// content (ident.ContentHash), stays the same. A crash interrupts all requests in progress at the
// upstream, as many as it has slots, and each of them may be the cause. Gateways report to each
// other which contents they had there. A content is convicted, which means that its requests are
// barred as poison requests, when it explains at least three crashes in a row, without a complete
// answer in between, better than any other content does. Crashes that a convicted content explains
// do not count against the requests that ran beside it.
//
// The package does no I/O. The reports of other gateways may arrive late, twice and in any
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
	// minCrashes is how many crashes in a row convict a content.
	minCrashes = 3
	// settleTime is how old a crash must be before it can convict: by then all gateways have
	// reported the requests that they had there. If crashes counted sooner, a gateway would
	// know all the crashes that one of its own requests went through by being resent, but not
	// yet the other requests that were running in each.
	settleTime = 750 * time.Millisecond
	// sameCrashWindow separates crashes of one upstream: reports closer together than this
	// are about the same crash. An upstream's process takes longer to restart.
	sameCrashWindow = time.Second
	// crashTTL is how long a crash counts against the contents that were running in it.
	crashTTL = 10 * time.Minute
	// VerdictTTL is the time after a content's last arrival at which the verdict on it expires:
	// a barred content that did not arrive for so long is let through again.
	VerdictTTL = 10 * time.Minute
	// maxCrashes and maxVerdicts bound the memory even if someone sends many different poison
	// requests.
	maxCrashes  = 64
	maxVerdicts = 256
)

// Config configures a Tracker. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	// Key returns the hash of an upstream's ID that all gateways use in their reports.
	Key func(ident.Instance) uint32
}

// Tracker holds what one gateway knows about poison requests. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// empty is true while there are no crashes and no verdicts, so that callers can skip all
	// other checks of a request.
	empty atomic.Bool

	mu      sync.Mutex
	crashes []*crash
	// suspects is derived from crashes and verdicts; dirty means that these have changed since.
	suspects map[ident.ContentHash]*suspect
	dirty    bool
	// outlines are the outlines of all contents in crashes and verdicts. The body of a request
	// with another outline need not be read.
	outlinesMu sync.RWMutex
	outlines   map[ident.OutlineHash]bool
	verdicts   map[ident.ContentHash]*verdict
	// inFlight counts the requests in progress with suspected contents, by upstream.
	inFlight map[ident.ContentHash]map[ident.Instance]int
	// reportCursor is the number of verdicts reported in turn so far.
	reportCursor int
	counts       Counters
}

// Counters counts what a Tracker saw and did since its start.
type Counters struct {
	// Crashes counts crashes of upstreams that had requests in progress, Convicted the
	// convicted contents, and Barred the refused requests.
	Crashes, Convicted, Barred int64
}

// crash is the end of an upstream's process while requests were in progress there.
type crash struct {
	upstream uint32
	at       time.Time
	// marks identify the interrupted requests, ownMarks those of this gateway. Both are sorted.
	marks, ownMarks []ident.Mark
	// lastOwnAt is when the latest own mark was added; reportCrashFor counts from it.
	lastOwnAt time.Time
	// topConvicted is the tally of the likeliest convicted content that was running; zero if
	// there was none.
	topConvicted tally
}

// verdict is the conviction or the clearance of a content.
type verdict struct {
	at time.Time
	// lastSeen is when a request with the content last arrived at any gateway.
	lastSeen time.Time
	// cleared means that no crash up to at counts against the content. Otherwise the content is
	// convicted.
	cleared bool
	// shared means that the verdict is reported to the other gateways. A clearance that only
	// concerns this gateway is not: most contents arrive at one gateway alone.
	shared bool
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, suspects: make(map[ident.ContentHash]*suspect), verdicts: make(map[ident.ContentHash]*verdict), inFlight: make(map[ident.ContentHash]map[ident.Instance]int), outlines: make(map[ident.OutlineHash]bool)}
	t.empty.Store(true)
	return t
}

// KnowsNone reports whether there are no crashes and no verdicts, so that every request may be
// sent without further checks.
func (t *Tracker) KnowsNone() bool { return t.empty.Load() }

// Knows reports whether any content with this outline is suspected or has a verdict.
func (t *Tracker) Knows(outline ident.OutlineHash) bool {
	t.outlinesMu.RLock()
	defer t.outlinesMu.RUnlock()
	return t.outlines[outline]
}

// rebuildOutlines recomputes the outlines and the empty flag.
func (t *Tracker) rebuildOutlines() {
	all := make(map[ident.OutlineHash]bool)
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

// Crashed records that an upstream's process ended while one of this gateway's requests was in
// progress there.
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

// findOrAddCrash returns the crash of an upstream within sameCrashWindow of an instant. If there
// is none it adds one, and drops the oldest if there are too many.
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

// maxMarksPerCrash bounds the memory of one crash.
const maxMarksPerCrash = 256

// addMark records that a request was interrupted by a crash.
func (t *Tracker) addMark(c *crash, mark ident.Mark) {
	if len(c.marks) >= maxMarksPerCrash {
		return
	}
	var isNew bool
	if c.marks, isNew = insertSorted(c.marks, mark); isNew {
		t.dirty = true
	}
}

// insertSorted inserts a mark into a sorted list and reports whether the mark is new.
func insertSorted(list []ident.Mark, mark ident.Mark) ([]ident.Mark, bool) {
	i, found := slices.BinarySearch(list, mark)
	if found {
		return list, false
	}
	return slices.Insert(list, i, mark), true
}

// Completed records that a request was answered completely, which clears its content.
func (t *Tracker) Completed(content ident.ContentHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	barred := t.isConvicted(content, now)
	if n, _ := t.crashesAgainst(content, now); n == 0 && !barred {
		return
	}
	t.clearContent(content, barred || t.reportedElsewhere(content), now)
	if barred {
		t.cfg.Log.Warn("poison request cleared: it was answered completely", "content", content)
	}
}

// reportedElsewhere reports whether another gateway had a suspected content in a crash too.
func (t *Tracker) reportedElsewhere(content ident.ContentHash) bool {
	return slices.ContainsFunc(t.suspects[content].unexplained, func(c *crash) bool {
		return slices.ContainsFunc(c.marks, func(mark ident.Mark) bool {
			_, own := slices.BinarySearch(c.ownMarks, mark)
			return mark.Content() == content && !own
		})
	})
}

// clearContent discounts all crashes up to now for a content. If share is set, the clearance is
// reported to the other gateways.
func (t *Tracker) clearContent(content ident.ContentHash, share bool, now time.Time) {
	t.verdicts[content] = &verdict{at: now, lastSeen: now, cleared: true, shared: share}
	t.limitVerdicts()
	t.dirty = true
}

// clearedAt returns when a content was last cleared, zero for never. Crashes up to then do not
// count against it.
func (t *Tracker) clearedAt(content ident.ContentHash) time.Time {
	if v := t.verdicts[content]; v != nil && v.cleared {
		return v.at
	}
	return time.Time{}
}

// isConvicted reports whether a content is convicted and arrived within VerdictTTL.
func (t *Tracker) isConvicted(content ident.ContentHash, now time.Time) bool {
	v := t.verdicts[content]
	return v != nil && !v.cleared && now.Sub(v.lastSeen) < VerdictTTL
}

// Barred reports whether a request with this content must not run, and after what time its
// caller may retry. It counts as an arrival of the content.
func (t *Tracker) Barred(content ident.ContentHash) (after time.Duration, barred bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.barIfConvicted(content)
}

func (t *Tracker) barIfConvicted(content ident.ContentHash) (time.Duration, bool) {
	now := t.cfg.Now()
	if !t.isConvicted(content, now) {
		return 0, false
	}
	t.verdicts[content].lastSeen = now
	t.counts.Barred++
	return VerdictTTL, true
}

// Clear clears a content on an operator's behalf; it reports whether the content was barred.
func (t *Tracker) Clear(content ident.ContentHash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if !t.isConvicted(content, now) {
		return false
	}
	t.clearContent(content, true, now)
	t.cfg.Log.Warn("poison request cleared by an operator", "content", content)
	return true
}

// Refresh merges the reports of the other gateways, convicts causes and drops expired crashes
// and verdicts. It must be called regularly, also with an empty report.
func (t *Tracker) Refresh(report Report) {
	if report.Empty() && t.empty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for i := range report.Crashes {
		t.mergeCrash(&report.Crashes[i], now)
	}
	for i := range report.Verdicts {
		t.mergeVerdict(&report.Verdicts[i], now)
	}
	changed := t.dirty
	t.convictCauses(now)
	t.expire(now)
	if changed || t.dirty {
		t.rebuildOutlines()
	}
}

func (t *Tracker) mergeCrash(reported *Crash, now time.Time) {
	if reported.Age >= crashTTL {
		return
	}
	c := t.findOrAddCrash(reported.Upstream, now.Add(-reported.Age))
	for _, mark := range reported.Marks {
		t.addMark(c, mark)
	}
}

// mergeVerdict applies another gateway's verdict if it supersedes the known one.
func (t *Tracker) mergeVerdict(reported *Verdict, now time.Time) {
	if reported.Idle >= VerdictTTL {
		return
	}
	at, lastSeen := now.Add(-reported.Age), now.Add(-reported.Idle)
	known := t.verdicts[reported.Content]
	if known != nil {
		known.lastSeen = boottime.Later(known.lastSeen, lastSeen)
		if !supersedes(reported.Cleared, at, known.cleared, known.at) {
			return
		}
		lastSeen = known.lastSeen
	}
	t.verdicts[reported.Content] = &verdict{at: at, lastSeen: lastSeen, cleared: reported.Cleared, shared: true}
	t.limitVerdicts()
	t.dirty = true
	if !reported.Cleared || known != nil && !known.cleared {
		t.cfg.Log.Info("received a poison verdict", "content", reported.Content, "cleared", reported.Cleared,
			"age_ms", reported.Age.Milliseconds(), "idle_ms", reported.Idle.Milliseconds())
	}
}

// ageTolerance is the error of ages that were relayed by other gateways.
const ageTolerance = 100 * time.Millisecond

// supersedes reports whether a verdict replaces a known one. Of two at about the same time the
// clearance prevails: a complete answer proves more than crashes do, and if the content is
// harmful, further crashes will convict it again.
func supersedes(cleared bool, at time.Time, knownCleared bool, knownAt time.Time) bool {
	switch {
	case cleared && !knownCleared:
		return at.After(knownAt.Add(-ageTolerance))
	case cleared || knownCleared:
		return at.After(knownAt.Add(ageTolerance))
	}
	return false
}

// expire drops old crashes and clearances, and verdicts on contents that have not arrived for long.
func (t *Tracker) expire(now time.Time) {
	kept := t.crashes[:0]
	for _, c := range t.crashes {
		if now.Sub(c.at) < crashTTL {
			kept = append(kept, c)
		}
	}
	expired := len(kept) < len(t.crashes)
	clear(t.crashes[len(kept):])
	t.crashes = kept
	for content, v := range t.verdicts {
		if now.Sub(v.lastSeen) >= VerdictTTL || v.cleared && now.Sub(v.at) >= crashTTL {
			delete(t.verdicts, content)
			expired = true
		}
	}
	if expired {
		t.dirty = true
	}
}

// limitVerdicts drops verdicts beyond maxVerdicts: clearances first, then those on the contents
// that have not arrived for longest.
func (t *Tracker) limitVerdicts() {
	for len(t.verdicts) > maxVerdicts {
		var oldest ident.ContentHash
		for content, v := range t.verdicts {
			if o := t.verdicts[oldest]; o == nil || v.cleared && !o.cleared || v.cleared == o.cleared && v.lastSeen.Before(o.lastSeen) {
				oldest = content
			}
		}
		delete(t.verdicts, oldest)
	}
}

// Counters returns the current counts.
func (t *Tracker) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
