package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

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
		t.addConviction(best.feature, best.conviction(with, now))
		t.counts.Convicted++
		t.cfg.Log.Warn("poison request detected", "feature", best.feature, "with", with, "ends", best.tally.crashes, "arrivals", best.tally.arrivals, "served_before", best.proven,
			"ends_age_ms", agesInMillis(best.unexplained, now), "suspects", len(candidates))
	}
}

// conviction returns the suspect's conviction together with others.
func (s *suspect) conviction(with []ident.Feature, now time.Time) *conviction {
	v := &conviction{at: s.unexplained[0].at, lastSeen: now, with: with, software: s.unexplained[0].software}
	for _, c := range s.unexplained {
		v.at = boottime.Later(v.at, c.at)
		if c.software != v.software || !rulesOf(s.feature).bySoftware {
			v.software = UnknownSoftware
		}
	}
	return v
}

func agesInMillis(crashes []*crash, now time.Time) []int64 {
	ages := make([]int64, 0, len(crashes))
	for _, c := range crashes {
		ages = append(ages, now.Sub(c.at).Milliseconds())
	}
	return ages
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
		if !t.hasOtherCauses(settled) && (s.doubt == ranTogether || s.earlier.crashes > 0 || rulesOf(s.feature).enoughArrivals(s.tally)) {
			out = append(out, settled)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		return cmp.Or(b.tally.compare(a.tally), a.feature.Compare(b.feature))
	})
	return out
}

// hasOtherCauses reports whether a few other features, which several arrivals had and which were never
// answered, were in all the crashes that count against a part. Other parts only count against one that
// was served or is in doubt: they may be in the same requests by chance.
func (t *Tracker) hasOtherCauses(s *suspect) bool {
	isPart := func(o *suspect) bool { return rulesOf(o.feature).combines }
	switch {
	case !isPart(s):
		return false
	case s.doubt == ranTogether:
		parts := t.recurrent(s, func(o *suspect) bool { return isPart(o) && len(o.unexplained) >= minRecurrencesBeside })
		return explain(s.unexplained, parts, 1)
	}
	contents := t.recurrent(s, func(o *suspect) bool { return !isPart(o) && len(o.crashes) >= minRecurrences })
	if explain(s.unexplained, contents, maxOtherCauses) {
		return true
	}
	if !s.proven && s.doubt == noDoubt {
		return false
	}
	all := t.recurrent(s, func(o *suspect) bool { return len(o.unexplained) >= minRecurrences })
	return explain(s.unexplained, all, max(maxOtherCauses, len(s.unexplained)/3))
}

const (
	// minRecurrences is in how many crashes a feature must be to be another cause of them, and
	// minRecurrencesBeside in how many a part must be to be that of what was convicted with others.
	minRecurrences       = 2
	minRecurrencesBeside = 3
	// maxOtherCauses is how many features may explain the crashes of another one together.
	maxOtherCauses = 2
)

// recurrent returns the other features that several arrivals had, that were never answered and about
// which there is no doubt, as far as they match.
func (t *Tracker) recurrent(s *suspect, match func(*suspect) bool) []*suspect {
	var out []*suspect
	for f, o := range t.suspects {
		if f != s.feature && !o.proven && o.doubt == noDoubt && o.tally.arrivals >= 2 && match(o) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int { return a.feature.Compare(b.feature) })
	return out
}

// explain reports whether at most so many causes, each time the one that explains the most of what is left,
// were in all of the crashes.
func explain(crashes []*crash, causes []*suspect, most int) bool {
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
	out := &suspect{feature: s.feature, doubt: s.doubt, earlier: s.earlier, proven: s.proven}
	for _, c := range s.unexplained {
		if now.Sub(c.settledFrom) >= settleTime {
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

// companions returns the features that may be the cause as well, because they were in the same requests
// as the suspect in each of its crashes, with one exception if there are several, and were never answered.
func (t *Tracker) companions(s *suspect) []ident.Feature {
	if !rulesOf(s.feature).combines {
		return nil
	}
	exceptions := 0
	if len(s.unexplained) >= ranBeside.freshCrashes(rulesOf(s.feature)) {
		exceptions = 1
	}
	var out []ident.Feature
	for _, o := range t.partsNeverAnswered() {
		if o.feature == s.feature || len(o.unexplained) < len(s.unexplained)-exceptions || len(out) == maxWith {
			continue
		}
		all := append([]ident.Feature{s.feature, o.feature}, out...)
		apart := slices.DeleteFunc(slices.Clone(s.unexplained), func(c *crash) bool { return slices.Contains(o.unexplained, c) && c.hadTogether(all...) })
		if len(apart) <= exceptions {
			out = append(out, o.feature)
		}
	}
	return out
}

// partsNeverAnswered returns the suspected parts that were never answered, in the order of their IDs.
func (t *Tracker) partsNeverAnswered() []*suspect {
	var out []*suspect
	for f, o := range t.suspects {
		if rulesOf(f).combines && !o.proven && len(o.unexplained) > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int { return a.feature.Compare(b.feature) })
	return out
}

// sharesCrash reports whether a crash counts against both suspects.
func (s *suspect) sharesCrash(o *suspect) bool {
	return slices.ContainsFunc(s.unexplained, func(c *crash) bool { return slices.Contains(o.unexplained, c) })
}
