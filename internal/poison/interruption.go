package poison

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
)

// Evidence is what an attempt's end, without a complete answer, shows of its upstream's process.
type Evidence int

// The evidence, from the strongest on.
const (
	// ProcessEnded: the process has ended, though it had not announced that.
	ProcessEnded Evidence = iota + 1
	// BrokenOff: the connection broke off. The process may have ended, or only the connection.
	BrokenOff
	// GivenUp: this gateway or its caller gave the attempt up. The process may have ended before.
	GivenUp
)

var evidenceNames = map[Evidence]string{ProcessEnded: "process_ended", BrokenOff: "broken_off", GivenUp: "given_up"}

// String returns the evidence's name in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// Interruption is an attempt at an upstream that ended without a complete answer.
type Interruption struct {
	// Upstream identifies one incarnation of the upstream.
	Upstream ident.Instance
	Software Software
	Request  ident.Request
	Content  ident.ContentHash
	// Parts are the shared parts of the request's prompt.
	Parts    []ident.Feature
	Evidence Evidence
}

const (
	// proofLookback is how long before the proof of a process's end an attempt may have ended that counts as one
	// that the end interrupted, unless the upstream was alive since: an entry that is not renewed any more lapses
	// within that time, and all gateways hear of it.
	proofLookback = 8 * time.Second
	// aliveAfter is how long after an interruption a request must have been sent whose answer shows that the
	// process goes on: by then, a later process under the same name is known for one.
	aliveAfter = 2 * time.Second
	// maxDoubtAge bounds how long an interruption may stay unexplained, as while the store is away and no entry
	// lapses.
	maxDoubtAge = 30 * time.Second
	// maxDoubts bounds the interruptions of this gateway, and those of others, that are unexplained.
	maxDoubts = 128
	// heardDoubtTTL is how long an interruption that another gateway reports counts after its last report: three
	// rounds of the exchange and its delays.
	heardDoubtTTL = 1500 * time.Millisecond
	// lateProof is the age from which on the end of a process is news when it becomes known, so that the other
	// gateways' requests in it are not known yet.
	lateProof = 2 * time.Second
)

// Standing is what this gateway knows of an upstream's process from its entry.
type Standing int

// The standings.
const (
	// Unconfirmed: the entry is there, but not known to have been renewed since the instant.
	Unconfirmed Standing = iota
	// Renewed: the process renewed its entry after the instant, or it would have lapsed.
	Renewed
	// Leaving: the process announced that it leaves.
	Leaving
	// Gone: the entry has lapsed, was dropped, or is that of a later process.
	Gone
)

// interruption is one of which it is not known whether the upstream's process ended in it.
type interruption struct {
	crash
	evidence Evidence
	// upstreamID is the upstream's ID; empty in another gateway's report.
	upstreamID ident.Instance
	// heardUntil is until when another gateway's report of it counts; zero for one of this gateway's own.
	heardUntil time.Time
}

// Interrupted records that one of this gateway's attempts ended without a complete answer. It counts against the
// request's features if the upstream's process ended, which may be known only later.
func (t *Tracker) Interrupted(i *Interruption) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	key := t.cfg.Key(i.Upstream)
	if i.Evidence == ProcessEnded {
		t.addOwnMarks(t.findOrAddCrash(key, i.Software, now, now), i, now)
		t.proveByReport(key, now, now)
		return
	}
	o := t.ownDoubt(key, i, now)
	t.addOwnMarks(&o.crash, i, now)
}

// ownDoubt returns the doubtful interruption at an upstream to which an attempt that has just ended belongs.
func (t *Tracker) ownDoubt(key uint32, i *Interruption, now time.Time) *interruption {
	for _, o := range t.doubts {
		if o.upstream == key && o.evidence == i.Evidence && now.Sub(o.at) < sameCrashWindow {
			return o
		}
	}
	o := &interruption{crash: crash{upstream: key, software: i.Software, at: now, settledFrom: now}, evidence: i.Evidence, upstreamID: i.Upstream}
	t.doubts = append(t.doubts, o)
	if len(t.doubts) > maxDoubts {
		t.doubts = slices.Delete(t.doubts, 0, len(t.doubts)-maxDoubts)
	}
	t.doubtful.Store(true)
	return o
}

// addOwnMarks adds the features of one of this gateway's requests to a crash.
func (t *Tracker) addOwnMarks(c *crash, i *Interruption, now time.Time) {
	c.lastOwnAt = now
	marks := []ident.Mark{ident.ContentMark(i.Content, i.Request)}
	for _, part := range t.suspectedFirst(i.Parts) {
		marks = append(marks, ident.PartMark(part, i.Content))
	}
	for _, mark := range marks {
		t.known.add(mark.Feature)
		if t.addMark(c, mark) {
			c.ownMarks, _ = insertSorted(c.ownMarks, mark)
		}
	}
	t.empty.Store(false)
}

// proveByReport makes crashes of what was broken off at an upstream at the instant at which another gateway saw its
// process end.
func (t *Tracker) proveByReport(key uint32, at, now time.Time) {
	t.prove(func(o *interruption) bool {
		return o.upstream == key && o.evidence == BrokenOff && at.Sub(o.at).Abs() < sameCrashWindow
	}, key, at, now)
}

// proveByEntry makes crashes of what was interrupted at an upstream whose entry shows that its process has ended.
func (t *Tracker) proveByEntry(key uint32, now time.Time) {
	t.prove(func(o *interruption) bool { return o.upstream == key && now.Sub(o.at) < proofLookback }, key, now, now)
}

// prove makes crashes of interruptions at an upstream whose process is known to have ended by an instant. t.mu must be
// held.
func (t *Tracker) prove(ended func(*interruption) bool, key uint32, at, now time.Time) {
	if !t.doubtful.Load() {
		return
	}
	var all []*interruption
	for _, o := range slices.Concat(t.doubts, t.heardDoubts) {
		if ended(o) {
			all = append(all, o)
		}
	}
	if len(all) == 0 {
		return
	}
	t.doubts = slices.DeleteFunc(t.doubts, ended)
	t.heardDoubts = slices.DeleteFunc(t.heardDoubts, ended)
	c := t.crashOfProcess(key, at)
	if c == nil {
		c = t.findOrAddCrash(key, all[0].software, all[0].at, now)
	}
	for _, o := range all {
		t.addMarksOf(c, o, now)
	}
	t.dirty = true
	t.counts.LateCrashes++
	t.cfg.Log.Info("interruption was a crash", "upstream", all[0].upstreamID, "upstream_key", key, "evidence", all[0].evidence.String(), "age_ms", now.Sub(all[0].at).Milliseconds(),
		"marks", len(c.marks), "own_marks", len(c.ownMarks))
	t.noteDoubts()
}

// addMarksOf adds what was interrupted to the crash that it was.
func (t *Tracker) addMarksOf(c *crash, o *interruption, now time.Time) {
	for _, mark := range o.marks {
		t.addMark(c, mark)
	}
	for _, mark := range o.ownMarks {
		c.ownMarks, _ = insertSorted(c.ownMarks, mark)
		c.lastOwnAt = now
	}
}

// crashOfProcess returns the known crash of an upstream of which an instant's proof tells, or nil.
func (t *Tracker) crashOfProcess(key uint32, at time.Time) *crash {
	for i := len(t.crashes) - 1; i >= 0; i-- {
		if c := t.crashes[i]; c.upstream == key && len(c.marks) > 0 && at.Sub(c.at) < proofLookback && at.Sub(c.at) > -sameCrashWindow {
			return c
		}
	}
	return nil
}

// Answered records that an upstream answered a request that was sent to it at an instant: its process goes on, and
// what was interrupted there well before was no crash.
func (t *Tracker) Answered(upstream ident.Instance, sent time.Time) {
	if !t.doubtful.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.cfg.Key(upstream)
	t.dropDoubts(func(o *interruption) bool { return o.upstream == key && sent.Sub(o.at) >= aliveAfter })
}

// dropDoubts drops interruptions that were no crashes, or of which that is not known in time. t.mu must be held.
func (t *Tracker) dropDoubts(drop func(*interruption) bool) {
	before := len(t.doubts) + len(t.heardDoubts)
	t.doubts = slices.DeleteFunc(t.doubts, drop)
	t.heardDoubts = slices.DeleteFunc(t.heardDoubts, drop)
	if len(t.doubts)+len(t.heardDoubts) < before {
		t.dirty = true
		t.noteDoubts()
	}
}

func (t *Tracker) noteDoubts() { t.doubtful.Store(len(t.doubts)+len(t.heardDoubts) > 0) }

// judgeDoubts applies what the upstreams' entries show of unexplained interruptions. t.mu must be held.
func (t *Tracker) judgeDoubts(now time.Time) {
	if !t.doubtful.Load() {
		return
	}
	standings := make(map[ident.Instance]Standing)
	for _, o := range slices.Clone(t.doubts) {
		standing := t.cfg.Standing(o.upstreamID, o.at)
		standings[o.upstreamID] = standing
		if standing == Gone {
			t.proveByEntry(o.upstream, now)
		}
	}
	t.dropDoubts(func(o *interruption) bool {
		if !o.heardUntil.IsZero() {
			return !now.Before(o.heardUntil)
		}
		standing := standings[o.upstreamID]
		return standing == Renewed || standing == Leaving || now.Sub(o.at) >= maxDoubtAge
	})
}

// mergeDoubt takes over another gateway's report of an unexplained interruption, which counts for a time.
func (t *Tracker) mergeDoubt(reported *Crash, counts time.Duration, now time.Time) {
	at := now.Add(-reported.Age)
	if t.crashOfProcess(reported.Upstream, at) != nil || reported.Age >= maxDoubtAge {
		return
	}
	for _, o := range t.heardDoubts {
		if o.upstream == reported.Upstream && o.at.Sub(at).Abs() < sameCrashWindow {
			o.heardUntil = boottime.Later(o.heardUntil, now.Add(counts))
			t.addHeardMarks(o, reported.Marks)
			return
		}
	}
	o := &interruption{crash: crash{upstream: reported.Upstream, software: reported.Software, at: at, settledFrom: now}, evidence: BrokenOff, heardUntil: now.Add(counts)}
	t.addHeardMarks(o, reported.Marks)
	t.heardDoubts = append(t.heardDoubts, o)
	if len(t.heardDoubts) > maxDoubts {
		t.heardDoubts = slices.Delete(t.heardDoubts, 0, len(t.heardDoubts)-maxDoubts)
	}
	t.doubtful.Store(true)
}

func (t *Tracker) addHeardMarks(o *interruption, marks []ident.Mark) {
	for _, mark := range marks {
		t.known.add(mark.Feature)
		t.addMark(&o.crash, mark)
	}
}

// doubtsAbout returns how many upstreams, beside those whose crashes count against a feature, broke requests with
// it off since it was answered last, as far as it is open whether their processes ended.
func (t *Tracker) doubtsAbout(f ident.Feature) int {
	if !t.doubtful.Load() {
		return 0
	}
	var counted []*interruption
	for _, list := range [][]*interruption{t.doubts, t.heardDoubts} {
		for _, o := range list {
			if o.evidence != BrokenOff || len(o.marksOf(f)) == 0 || !o.at.After(t.clearedAt(f, o.software)) {
				continue
			}
			same := func(c *interruption) bool { return c.upstream == o.upstream && c.at.Sub(o.at).Abs() < sameCrashWindow }
			if !slices.ContainsFunc(counted, same) {
				counted = append(counted, o)
			}
		}
	}
	return len(counted)
}

// holdRetryAfter is how long callers of a request are told to wait that is held back: by then it is mostly
// known whether the upstreams' processes ended.
const holdRetryAfter = 2 * time.Second

// held reports whether a feature is to be held back: it would be barred, or its next crash would decide, if the
// processes that broke it off have ended, or once all gateways have told what they had there. After that it is tried
// again, at one gateway after the other. A gateway that hears no other one, though there are some, holds back each
// content that two upstreams may have crashed under, until the store can have told it what others know. A part that was served is not held
// back.
func (t *Tracker) held(f ident.Feature, now time.Time) bool {
	crashes, doubts := t.crashesAgainst(f, now), t.doubtsAbout(f)
	if rulesOf(f).combines {
		// Parts are in many requests, of which some are at the end of any upstream.
		return doubts > 0 && crashes+doubts >= rulesOf(f).minCrashes && !t.served.has(f) && !t.suspects[f].isKnownPopular()
	}
	if crashes+doubts >= aloneMinCrashes && t.cfg.Alone() && (doubts > 0 || now.Sub(t.suspects[f].newestSettledFrom()) < aloneHold) {
		return true
	}
	if crashes+doubts < rulesOf(f).minCrashes {
		return false
	}
	return doubts > 0 || t.suspects[f].hasLateNews() && now.Sub(t.suspects[f].newestSettledFrom()) < settleTime+t.trialDelay(f)
}

// hasLateNews reports whether a crash that counts against the feature became known only long after it.
func (s *suspect) hasLateNews() bool {
	return slices.ContainsFunc(s.unexplained, func(c *crash) bool { return c.settledFrom.After(c.at) })
}

// aloneHold is how long a gateway that hears no other one holds a content back after a crash: by then it has read
// what others have written to the store, and written its own.
const aloneHold = 2 * time.Second

// aloneMinCrashes is from how many crashes on such a gateway holds a content back: with one, it would hold back all that
// ran at any upstream that crashed.
const aloneMinCrashes = 2

// isKnownPopular reports whether the feature is known to arrive so often that it is in many crashes for that alone.
func (s *suspect) isKnownPopular() bool { return s != nil && s.popular() }

// newestSettledFrom returns from when the evidence of the newest crash against the feature settles.
func (s *suspect) newestSettledFrom() time.Time {
	var newest time.Time
	for _, c := range s.unexplained {
		newest = boottime.Later(newest, c.settledFrom)
	}
	return newest
}

const (
	// trialSlots and trialSlot spread the gateways that try a content again under which enough upstreams have crashed
	// to bar it, but that cannot be told from others yet: the crash of one becomes known before the next one tries.
	trialSlots = 8
	trialSlot  = 300 * time.Millisecond
)

// trialDelay returns how long after others this gateway tries such a content again.
func (t *Tracker) trialDelay(f ident.Feature) time.Duration {
	return time.Duration(rendezvous.Weight(uint64(t.cfg.Key(t.cfg.Self)), f.Value)%trialSlots) * trialSlot
}
