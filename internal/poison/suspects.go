package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// tally counts the crashes that a feature was in since it was last answered, and its arrivals that the
// crashes interrupted: of a content, the distinct requests; of a part, the distinct contents. A request that
// its gateway resent after each crash counts once.
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
	// doubt is why crashes that a conviction explains may speak against the feature all the same.
	doubt doubt
	// earlier is what counted against the feature when all gateways restarted, and was not answered since.
	earlier earlierCrashes
	// cleared: the feature was answered completely before, on any software.
	cleared bool
	// proven: the feature was answered completely, lately or at any time since it is suspected.
	proven bool
	tally  tally
}

// doubt is why a conviction may not be the whole truth about a part.
type doubt int

// The doubts.
const (
	// noDoubt: only crashes that no conviction explains count.
	noDoubt doubt = iota
	// ranBeside: the part was in as many crashes as a conviction explains, in other requests. It may have
	// run beside the cause because many requests have it, or be the cause.
	ranBeside
	// ranTogether: the part was convicted together with others, one of which is the cause.
	ranTogether
)

// freshCrashes returns how many crashes that no conviction explains convict a part with this doubt.
func (d doubt) freshCrashes(r *rules) int {
	switch d {
	case ranBeside:
		return 3
	case ranTogether:
		return 1
	}
	return r.minCrashes
}

// count returns how many crashes count against the feature; s may be nil.
func (s *suspect) count() int {
	if s == nil || len(s.unexplained) == 0 {
		return 0
	}
	r := rulesOf(s.feature)
	return max(len(s.unexplained), s.countWithEarlier()) + r.minCrashes - s.doubt.freshCrashes(r)
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

// maxArrivalsPerCrash is how many arrivals of a feature may be in each crash if it is not popular.
const maxArrivalsPerCrash = 2

// popular reports whether the feature arrives so often that it is in many crashes for that alone.
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
// convicted one may only have run beside it, and a part, which comes into doubt.
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
				s.doubtBeside()
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
		for _, f := range v.inDoubt(lead) {
			if one := t.suspects[f]; one != nil && !one.proven && !one.popular() {
				one.doubt = ranTogether
			}
		}
	}
}

// doubtBeside records that the suspect is as likely the cause of a crash as the conviction that explains it.
func (s *suspect) doubtBeside() {
	if s.tally.crashes >= rulesOf(s.feature).minCrashes {
		s.doubt = max(s.doubt, ranBeside)
	}
}

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
