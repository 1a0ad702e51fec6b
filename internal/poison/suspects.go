package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// tally counts the crashes that a feature was in since it was last answered, and the distinct
// requests with it that the crashes interrupted. A request that its gateway resent after each
// crash counts once.
type tally struct{ crashes, arrivals int }

// compare orders tallies by how likely they belong to a cause: more crashes first, then
// those with nearly one arrival per crash. A request that only its own gateway resent has
// fewer arrivals than crashes; a feature that many callers have in progress at a time has more.
func (a tally) compare(b tally) int {
	return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.imbalance(), a.imbalance()))
}

// imbalance is how far the arrivals differ from one per crash.
func (a tally) imbalance() int { return max(a.arrivals-a.crashes, a.crashes-a.arrivals) }

// suspect is a feature that was in at least one crash.
type suspect struct {
	feature ident.Feature
	// crashes are those since the feature was last answered; own are those that a conviction of the
	// feature itself explains, and unexplained those that count against it, because none explains them.
	crashes, own, unexplained []*crash
	// credit is added to the unexplained crashes of a feature that may be the cause of crashes that a
	// conviction explains, or that is convicted together with others: few more show that it is.
	credit int
	// mayBeBeside: the credit is for crashes that the feature may have had no part in, because many
	// requests have it.
	mayBeBeside bool
	// earlier is what counted against the feature when all gateways restarted, and was not answered since.
	earlier earlierCrashes
	// cleared: the feature was answered completely before, on any software.
	cleared bool
	// proven: the feature was answered completely, lately or at any time since it is suspected.
	proven bool
	tally  tally
}

// count returns how many crashes count against the feature; s may be nil.
func (s *suspect) count() int {
	if s == nil || len(s.unexplained) == 0 {
		return 0
	}
	return max(len(s.unexplained), s.countWithEarlier()) + s.credit
}

// countWithEarlier counts the earlier crashes and those since.
func (s *suspect) countWithEarlier() int {
	if s.earlier.crashes == 0 {
		return 0
	}
	n := s.earlier.crashes
	for _, c := range s.unexplained {
		if c.at.After(s.earlier.newest.Add(sameCrashWindow)) {
			n++
		}
	}
	return n
}

// age returns the time since the first crash that is known to count against the feature.
func (s *suspect) age(now time.Time) time.Duration {
	var age time.Duration
	if len(s.crashes) > 0 {
		age = now.Sub(s.crashes[0].at)
	}
	if s.earlier.crashes > 0 {
		age = max(age, now.Sub(s.earlier.newest))
	}
	return age
}

// maxArrivalsPerCrash is how many requests in each crash may have had a feature that is not popular.
const maxArrivalsPerCrash = 2

// popular reports whether so many requests have the feature that it is in many crashes for that alone.
func (s *suspect) popular() bool { return s.tally.arrivals > maxArrivalsPerCrash*s.tally.crashes }

// discount takes out the crashes of a software up to an instant.
func (s *suspect) discount(software Software, at time.Time) {
	old := func(c *crash) bool { return software.covers(c.software) && !c.at.After(at) }
	s.crashes = slices.DeleteFunc(s.crashes, old)
	s.unexplained = slices.DeleteFunc(s.unexplained, old)
	s.tally = tallyOf(s.feature, s.crashes)
	s.cleared, s.proven, s.earlier = true, true, earlierCrashes{}
}

// convicted is a conviction with the crashes that it explains: those in which one request had all of
// its features.
type convicted struct {
	lead ident.Feature
	*conviction
	crashes []*crash
	tally   tally
}

// rebuildSuspects recomputes which crashes count against which feature, if anything has
// changed.
//
// A crash that a conviction explains does not count against the other features there. The exceptions
// were in as many crashes as the conviction explains: a content that was never answered, because the
// convicted one may only have run beside it, and a part, which is given credit.
func (t *Tracker) rebuildSuspects(now time.Time) {
	if !t.dirty {
		return
	}
	t.dirty = false
	clear(t.suspects)
	for _, c := range t.crashes {
		c.topConvicted = nil
		t.addSuspectsOf(c)
	}
	for _, s := range t.suspects {
		s.tally = tallyOf(s.feature, s.crashes)
	}
	t.explainCrashes(now)
	for _, s := range t.suspects {
		for _, c := range s.crashes {
			switch {
			case slices.Contains(s.own, c):
			case c.topConvicted == nil:
				s.unexplained = append(s.unexplained, c)
			case c.topConvicted.outdoes(s, c):
			case c.topConvicted.isBeside(s, c):
				s.addCredit()
			default:
				s.unexplained = append(s.unexplained, c)
			}
		}
	}
}

// addSuspectsOf adds a crash to each feature that was in it.
func (t *Tracker) addSuspectsOf(c *crash) {
	for i, mark := range c.marks {
		if i > 0 && c.marks[i-1].Feature == mark.Feature {
			continue
		}
		s := t.suspects[mark.Feature]
		if s == nil {
			s = &suspect{feature: mark.Feature, cleared: len(t.clearances[mark.Feature]) > 0, earlier: t.earlier[mark.Feature]}
			s.proven = s.cleared || t.served.has(mark.Feature)
			t.suspects[mark.Feature] = s
		}
		if c.at.After(t.clearedAt(mark.Feature, c.software)) {
			s.crashes = append(s.crashes, c)
		}
	}
}

// explainCrashes finds the likeliest conviction that explains each crash.
func (t *Tracker) explainCrashes(now time.Time) {
	for lead, v := range t.convictions {
		s := t.suspects[lead]
		if s == nil || v.expired(now) {
			continue
		}
		k := &convicted{lead: lead, conviction: v}
		for _, c := range s.crashes {
			if c.hadTogether(v.features(lead)...) {
				k.crashes = append(k.crashes, c)
			}
		}
		k.tally = tallyOf(lead, k.crashes)
		for _, c := range k.crashes {
			if top := c.topConvicted; top == nil || cmp.Or(top.tally.compare(k.tally), k.lead.Compare(top.lead)) < 0 {
				c.topConvicted = k
			}
		}
		for _, f := range v.features(lead) {
			if member := t.suspects[f]; member != nil {
				member.own = append(member.own, k.crashes...)
			}
		}
		inDoubt := v.doubted
		if len(v.with) > 0 {
			inDoubt = v.features(lead)
		}
		for _, f := range inDoubt {
			if one := t.suspects[f]; one != nil && !one.proven && !one.popular() {
				one.credit = rulesOf(f).memberCredit
			}
		}
	}
}

// addCredit gives a part credit that is as likely a cause of crashes as the conviction that explains
// them, so much that minFreshCrashes more convict it.
func (s *suspect) addCredit() {
	if r := rulesOf(s.feature); s.tally.crashes >= r.minCrashes {
		s.credit = max(s.credit, r.minCrashes-minFreshCrashes)
		s.mayBeBeside = true
	}
}

// minFreshCrashes is how many crashes that no conviction explains convict a feature that was in enough
// crashes that one does explain.
const minFreshCrashes = 3

// outdoes reports whether the conviction, which explains the crash, is a likelier cause than the
// suspect.
func (k *convicted) outdoes(s *suspect, c *crash) bool {
	if c.hadTogether(k.lead, s.feature) {
		return s.tally.crashes <= k.tally.crashes
	}
	answered := s.cleared && !rulesOf(s.feature).combines
	return answered || s.tally.compare(k.tally) < 0
}

// isBeside reports whether the suspect is a part that may only have run beside what the conviction explains
// the crash by: many parts are in many crashes because many requests have them. A part of the very
// request that a convicted content explains the crash by is not: contents that have it may be all
// different.
func (k *convicted) isBeside(s *suspect, c *crash) bool {
	return rulesOf(s.feature).combines && (rulesOf(k.lead).combines || !c.hadTogether(k.lead, s.feature))
}

// tallyOf counts the given crashes and a feature's distinct requests in them.
func tallyOf(f ident.Feature, crashes []*crash) tally {
	var arrived [256]bool
	n := 0
	for _, c := range crashes {
		for _, mark := range c.marksOf(f) {
			if !arrived[mark.Tag] {
				arrived[mark.Tag] = true
				n++
			}
		}
	}
	return tally{crashes: len(crashes), arrivals: n}
}

// maxConvictedAtOnce bounds the convictions of one round; further ones follow in the next.
const maxConvictedAtOnce = 16

// convictCauses convicts one cause after another until the remaining crashes are explained or
// the evidence about them is still incomplete.
func (t *Tracker) convictCauses(now time.Time) {
	for range maxConvictedAtOnce {
		t.rebuildSuspects(now)
		candidates := t.candidates(now)
		best, with, found := t.likeliestCause(candidates)
		if !found {
			return
		}
		ages := make([]int64, 0, len(best.unexplained))
		software, newest := best.unexplained[0].software, best.unexplained[0].at
		for _, c := range best.unexplained {
			ages = append(ages, now.Sub(c.at).Milliseconds())
			newest = boottime.Later(newest, c.at)
			if c.software != software || !rulesOf(best.feature).bySoftware {
				software = UnknownSoftware
			}
		}
		t.addConviction(best.feature, &conviction{at: newest, lastSeen: now, with: with, software: software})
		t.counts.Convicted++
		t.cfg.Log.Warn("poison request detected", "feature", best.feature, "with", with, "ends", best.tally.crashes, "arrivals", best.tally.arrivals, "served_before", best.proven,
			"ends_age_ms", ages, "suspects", len(candidates))
	}
}

// candidates returns the features with enough settled crashes, the likeliest cause first. A
// feature that arrived once is no candidate, because only its own gateway resent it. One that
// arrived twice needs more crashes, because it may be only its caller's retry. One that was served
// before needs more crashes too, and time in which it could have been answered.
func (t *Tracker) candidates(now time.Time) []*suspect {
	var out []*suspect
	for _, s := range t.suspects {
		least, possible := s.leastCrashes(now)
		if !possible || s.count() < least {
			continue
		}
		settled := s.onlySettled(now)
		if settled.count() < least {
			continue
		}
		if settled.credit == rulesOf(s.feature).memberCredit {
			if !t.isBesideAnother(settled) {
				out = append(out, settled)
			}
			continue
		}
		if rulesOf(s.feature).combines && t.hasOtherCauses(settled) {
			continue
		}
		if settled.earlier.crashes > 0 || rulesOf(s.feature).enoughArrivals(s.tally) {
			out = append(out, settled)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		return cmp.Or(b.tally.compare(a.tally), a.feature.Compare(b.feature))
	})
	return out
}

// isBesideAnother reports whether another part, which several requests had in minFreshCrashes or more and
// which was never answered, was in all the crashes that count against the suspect.
func (t *Tracker) isBesideAnother(s *suspect) bool {
	for f, o := range t.suspects {
		if f != s.feature && rulesOf(f).combines && !o.proven && o.credit == 0 && o.tally.arrivals >= 2 && len(o.unexplained) >= minFreshCrashes &&
			len(without(s.unexplained, o.unexplained)) == 0 {
			return true
		}
	}
	return false
}

// hasOtherCauses reports whether a few other features, which several requests had and which were never
// answered, were in all the crashes that count against the suspect. If the suspect was never answered
// either, only contents count: other parts may be in the same requests by chance.
func (t *Tracker) hasOtherCauses(s *suspect) bool {
	var contents, all []*suspect
	for f, o := range t.suspects {
		if f == s.feature || o.proven || o.credit > 0 || o.tally.arrivals < 2 || len(o.crashes) < 2 {
			continue
		}
		if !rulesOf(f).combines {
			contents = append(contents, o)
		}
		if len(o.unexplained) >= 2 {
			all = append(all, o)
		}
	}
	if explain(s.unexplained, contents, maxOtherCauses) {
		return true
	}
	return (s.proven || s.mayBeBeside) && explain(s.unexplained, all, max(maxOtherCauses, len(s.unexplained)/3))
}

// maxOtherCauses is how many features may explain the crashes of another one together.
const maxOtherCauses = 2

// explain reports whether at most so many causes, each time the one that explains the most of what is left,
// were in all of the crashes.
func explain(crashes []*crash, causes []*suspect, most int) bool {
	slices.SortFunc(causes, func(a, b *suspect) int { return a.feature.Compare(b.feature) })
	left := crashes
	for range most {
		fewest := left
		for _, o := range causes {
			if rest := without(left, o.crashes); len(rest) < len(fewest) {
				fewest = rest
			}
		}
		if left = fewest; len(left) == 0 {
			return true
		}
	}
	return false
}

// without returns the crashes that are not among others.
func without(crashes, others []*crash) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return slices.Contains(others, c) })
}

// onlySettled returns the suspect with only those crashes that all gateways have reported by
// now.
func (s *suspect) onlySettled(now time.Time) *suspect {
	out := &suspect{feature: s.feature, credit: s.credit, earlier: s.earlier, proven: s.proven, mayBeBeside: s.mayBeBeside}
	for _, c := range s.unexplained {
		if now.Sub(c.at) >= settleTime {
			out.unexplained = append(out.unexplained, c)
		}
	}
	out.tally = tallyOf(s.feature, out.unexplained)
	return out
}

// likeliestCause returns the first candidate that no likelier or equally likely candidate
// shares a crash with, and the features that cannot be told apart from it because they were in the
// same requests. A candidate with minCrashesIfTied crashes needs no such distinction.
func (t *Tracker) likeliestCause(candidates []*suspect) (best *suspect, with []ident.Feature, found bool) {
	for i, s := range candidates {
		with := t.companions(s)
		rivals := func(o *suspect) bool { return !slices.Contains(with, o.feature) && s.sharesCrash(o) }
		outranked := slices.ContainsFunc(candidates[:i], rivals)
		tied := slices.ContainsFunc(candidates[i+1:], func(o *suspect) bool {
			return o.tally.compare(s.tally) == 0 && rivals(o)
		})
		if !outranked && !tied || s.count() >= rulesOf(s.feature).minCrashesIfTied() {
			return s, with, true
		}
	}
	return nil, nil, false
}

// apartFrom returns how many crashes count against the suspect in which no request had the other's
// feature too, or that do not count against the other.
func (s *suspect) apartFrom(o *suspect) int {
	n := 0
	for _, c := range s.unexplained {
		if !c.hadTogether(s.feature, o.feature) || !slices.Contains(o.unexplained, c) {
			n++
		}
	}
	return n
}

// companions returns the features that may be the cause as well, because they were in the same requests
// as the suspect in each of its crashes, with one exception if there are several, and were never answered.
func (t *Tracker) companions(s *suspect) []ident.Feature {
	if !rulesOf(s.feature).combines {
		return nil
	}
	exceptions := 0
	if len(s.unexplained) >= minFreshCrashes {
		exceptions = 1
	}
	var others []ident.Feature
	for f, o := range t.suspects {
		if f != s.feature && f.Kind == s.feature.Kind && !o.proven && len(o.unexplained) >= len(s.unexplained)-exceptions && s.apartFrom(o) <= exceptions {
			others = append(others, f)
		}
	}
	slices.SortFunc(others, ident.Feature.Compare)
	var out []ident.Feature
	for _, f := range others {
		all := append([]ident.Feature{s.feature, f}, out...)
		apart := 0
		for _, c := range s.unexplained {
			if !c.hadTogether(all...) {
				apart++
			}
		}
		if apart <= exceptions && len(out) < maxWith {
			out = append(out, f)
		}
	}
	return out
}

// sharesCrash reports whether a crash counts against both suspects.
func (s *suspect) sharesCrash(o *suspect) bool {
	return slices.ContainsFunc(s.unexplained, func(c *crash) bool { return slices.Contains(o.unexplained, c) })
}
