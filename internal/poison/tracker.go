// Package poison detects poison requests, which crash the processes of the upstreams that run
// them, and bars them from further upstreams.
//
// Poison requests arrive again and again, at any gateway, under new IDs; what makes them crash
// upstreams is a feature that they have in common (ident.Feature): their whole content, or one part
// of their prompts in otherwise different requests. A crash interrupts all requests in progress at the
// upstream, as many as it has slots, and each feature of each of them may be the cause. Gateways
// report to each other which features they had there. A feature is convicted, which means that
// requests with it are barred, when it explains enough crashes in a row, without a complete answer
// in between, better than any other feature does. Crashes that a convicted feature explains do not
// count against what ran beside it.
//
// Prompt parts that were always in the same requests cannot be told apart by crashes. They are
// convicted together: a request is barred that has all of them, and a request with some of them
// is sent and tells which of them is the cause.
//
// The package does no I/O. The reports of other gateways may arrive late, twice and in any
// order.
package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// settleTime is how old a crash must be before it can convict: by then all gateways have
	// reported the requests that they had there. If crashes counted sooner, a gateway would
	// know all the crashes that one of its own requests went through by being resent, but not
	// yet the other requests that were running in each.
	settleTime = 750 * time.Millisecond
	// sameCrashWindow separates crashes of one upstream: reports closer together than this
	// are about the same crash. An upstream's process takes longer to restart.
	sameCrashWindow = time.Second
	// crashTTL is how long a crash counts against the features of what was running in it.
	crashTTL = 10 * time.Minute
	// VerdictTTL is the time after the last arrival of a request with a convicted feature at which
	// the conviction expires: requests that did not arrive for so long are let through again.
	VerdictTTL = 10 * time.Minute
	// maxCrashes, maxConvictions and maxClearances bound the memory even if someone sends many
	// different poison requests.
	maxCrashes     = 64
	maxConvictions = 256
	maxClearances  = 1024
)

// Config configures a Tracker. All fields are required.
type Config struct {
	// Self is this gateway.
	Self ident.Instance
	Now  boottime.Clock
	Log  hclog.Logger
	// Key returns the hash of an upstream's ID that all gateways use in their reports.
	Key func(ident.Instance) uint32
	// Standing returns what the upstream's entry shows of its process since an instant.
	Standing func(upstream ident.Instance, since time.Time) Standing
	// Alone reports whether this gateway hears no other one, though there are some.
	Alone func() bool
}

// Tracker holds what one gateway knows about poison requests. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// empty is true while there are no crashes and no verdicts, so that callers can skip all
	// other checks of a request.
	empty atomic.Bool

	// doubtful is true while there are interruptions of which it is open whether they were crashes.
	doubtful atomic.Bool

	mu      sync.Mutex
	crashes []*crash
	// doubts are this gateway's unexplained interruptions, heardDoubts those that others report.
	doubts, heardDoubts []*interruption
	// suspects is derived from crashes and verdicts; dirty means that these have changed since.
	suspects map[ident.Feature]*suspect
	dirty    bool
	// known are the features in crashes, convictions and earlier, served the prompt parts in complete
	// answers. Both are safe to use without mu.
	known  *knownFeatures
	served served
	// earlier is what counted against features when all gateways restarted.
	earlier map[ident.Feature]earlierCrashes

	convictions map[ident.Feature]*conviction
	clearances  map[ident.Feature][]clearance
	// inFlight counts the requests in progress with features that are acted on, by upstream.
	inFlight map[ident.Feature]map[ident.Instance]int
	// reportCursor is the number of verdicts reported in turn so far, markCursor that of rounds.
	reportCursor, markCursor int
	counts                   Counters
}

// Counters counts what a Tracker saw and did since its start.
type Counters struct {
	// Crashes counts crashes of upstreams that had requests in progress, Convicted the
	// convicted features, Barred the refused requests and Waited those that waited for evidence.
	Crashes, Convicted, Barred, Waited int64
	// LateCrashes counts the crashes that showed only after the request's end, and Held the requests that
	// were refused while it was open whether upstreams had crashed under them.
	LateCrashes, Held int64
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg: cfg, suspects: make(map[ident.Feature]*suspect), convictions: make(map[ident.Feature]*conviction),
		clearances: make(map[ident.Feature][]clearance), inFlight: make(map[ident.Feature]map[ident.Instance]int), earlier: make(map[ident.Feature]earlierCrashes),
		known: newKnownFeatures(),
	}
	t.empty.Store(true)
	return t
}

// KnowsNone reports whether there are no crashes and no verdicts, so that every request may be
// sent without further checks.
func (t *Tracker) KnowsNone() bool { return t.empty.Load() }

// Knows reports whether any content with this outline is suspected or convicted.
func (t *Tracker) Knows(outline ident.OutlineHash) bool { return t.known.hasOutline(outline) }

// AppendKnownParts appends those of the given prompt parts that are suspected or convicted.
func (t *Tracker) AppendKnownParts(to, parts []ident.Feature) []ident.Feature {
	return t.known.appendParts(to, parts)
}

// rebuildKnown recomputes the known features and the empty flag.
func (t *Tracker) rebuildKnown() {
	known := newKnownFeatures()
	for _, c := range t.crashes {
		for _, mark := range c.marks {
			known.add(mark.Feature)
		}
	}
	for lead, v := range t.convictions {
		for _, f := range v.features(lead) {
			known.add(f)
		}
	}
	for f := range t.earlier {
		known.add(f)
	}
	for _, o := range slices.Concat(t.doubts, t.heardDoubts) {
		for _, mark := range o.marks {
			known.add(mark.Feature)
		}
	}
	t.known.replaceBy(known)
	t.empty.Store(t.known.empty() && len(t.clearances) == 0)
}

// suspectedFirst returns the parts with those first against which crashes count, because the marks
// of a crash are bounded.
func (t *Tracker) suspectedFirst(parts []ident.Feature) []ident.Feature {
	out := slices.Clone(parts)
	slices.SortStableFunc(out, func(a, b ident.Feature) int {
		return t.suspects[b].count() - t.suspects[a].count()
	})
	return out
}

// findOrAddCrash returns the crash of an upstream within sameCrashWindow of an instant. If there
// is none it adds one, and drops the oldest if there are too many.
func (t *Tracker) findOrAddCrash(upstream uint32, software Software, at, now time.Time) *crash {
	for i := len(t.crashes) - 1; i >= 0; i-- {
		if c := t.crashes[i]; c.upstream == upstream && c.at.Sub(at).Abs() < sameCrashWindow {
			if c.software == UnknownSoftware {
				c.software = software
			}
			return c
		}
	}
	c := &crash{upstream: upstream, software: software, at: at, settledFrom: at}
	if now.Sub(at) >= lateProof {
		c.settledFrom = now
	}
	t.crashes = append(t.crashes, c)
	t.counts.Crashes++
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
		t.dirty = true
	}
	return c
}

// addMark records that a request was interrupted by a crash, and reports whether there is room.
func (t *Tracker) addMark(c *crash, mark ident.Mark) bool {
	if len(marksOfKind(c.marks, mark.Feature.Kind)) >= rulesOf(mark.Feature).maxMarks {
		return false
	}
	var isNew bool
	if c.marks, isNew = insertSorted(c.marks, mark); isNew {
		t.dirty = true
	}
	return true
}

// Refresh merges the reports of the other gateways, convicts causes and drops expired crashes
// and verdicts. It must be called regularly, also with an empty report.
func (t *Tracker) Refresh(report Report) {
	if report.Empty() && t.empty.Load() && !t.doubtful.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for i := range report.Crashes {
		t.mergeCrash(&report.Crashes[i], now)
	}
	for i := range report.Doubts {
		t.mergeDoubt(&report.Doubts[i], heardDoubtTTL, now)
	}
	for i := range report.Verdicts {
		t.mergeVerdict(&report.Verdicts[i], now)
	}
	t.judgeDoubts(now)
	changed := t.dirty
	t.convictCauses(now)
	t.expire(now)
	if changed || t.dirty {
		t.rebuildKnown()
	}
}

func (t *Tracker) mergeCrash(reported *Crash, now time.Time) {
	if reported.Age >= crashTTL {
		return
	}
	at := now.Add(-reported.Age)
	t.proveByReport(reported.Upstream, at, now)
	c := t.findOrAddCrash(reported.Upstream, reported.Software, at, now)
	for _, mark := range reported.Marks {
		t.addMark(c, mark)
	}
}

// expire drops old crashes and clearances, and convictions of features that have not arrived for long.
func (t *Tracker) expire(now time.Time) {
	before := len(t.crashes) + len(t.convictions) + len(t.clearances) + len(t.earlier)
	maps.DeleteFunc(t.earlier, func(_ ident.Feature, e earlierCrashes) bool { return now.Sub(e.newest) >= crashTTL })
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) >= crashTTL })
	t.expireVerdicts(now)
	if len(t.crashes)+len(t.convictions)+len(t.clearances)+len(t.earlier) < before {
		t.dirty = true
	}
}

// Counters returns the current counts.
func (t *Tracker) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
