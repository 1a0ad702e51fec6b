package poison

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// rules are what differs between the kinds of features.
type rules struct {
	// minCrashes is how many crashes in a row convict a feature.
	minCrashes int
	// maxMarks bounds the marks of one crash that are kept, maxReported those in one gateway's report,
	// and maxMerged those in a collector's merged report.
	maxMarks, maxReported, maxMerged int
	// anyAnswer means that every complete answer clears a feature; otherwise only a success does,
	// because a failure need not have been worked out from the prompt.
	anyAnswer bool
	// sinceSent means that a complete answer shows nothing of the time after its request was sent to the
	// upstream: requests with the feature may have been harmless until then.
	sinceSent bool
	// maxVerdicts bounds the verdicts in one gateway's report; further ones take turns.
	maxVerdicts int
	// bySoftware means that an answer shows nothing of other software than what answered.
	bySoftware bool
	// combines means that a request may have several features of the kind, so that some may be found in
	// the same requests alone.
	combines bool
}

var rulesByKind = [...]rules{
	ident.ContentFeature: {minCrashes: 3, maxMarks: 256, maxReported: 14, maxMerged: 160, maxVerdicts: 3, anyAnswer: true},
	ident.PartFeature:    {minCrashes: 5, maxMarks: 1024, maxReported: 32, maxMerged: 320, maxVerdicts: 6, bySoftware: true, combines: true, sinceSent: true},
}

func rulesOf(f ident.Feature) *rules { return &rulesByKind[f.Kind] }

// minCrashesIfTied is how many crashes in a row convict a feature even if another feature was in the
// same crashes, so that the two cannot be told apart.
func (r *rules) minCrashesIfTied() int { return r.minCrashes + 2 }

// enoughArrivals reports whether the feature arrived so often that the crashes are not those of one or two
// requests that were sent again and again.
func (r *rules) enoughArrivals(t tally) bool {
	return t.arrivals >= 3 || t.arrivals == 2 && t.crashes+t.arrivals >= 2*r.minCrashes
}

const (
	// minAnswerTime is how long it must have been possible to answer requests with a part, since the first
	// crash against it, until it may be convicted: a sound part is in many crashes if they follow each
	// other faster than answers come.
	minAnswerTime = 2 * settleTime
	// A part that was served before, or is popular, may be convicted after shortAnswerTime at moreIfProven
	// more crashes, and after longAnswerTime at as many as others.
	shortAnswerTime = 2500 * time.Millisecond
	longAnswerTime  = 5 * time.Second
	moreIfProven    = 3
)

// leastCrashes returns how many crashes in a row convict a suspect; false if none do yet.
func (s *suspect) leastCrashes(now time.Time) (least int, possible bool) {
	r := rulesOf(s.feature)
	if !r.combines {
		return r.minCrashes, true
	}
	age := s.age(now)
	if age < longAnswerTime && (s.proven || s.popular()) {
		return r.minCrashes + moreIfProven, age >= shortAnswerTime
	}
	return r.minCrashes, age >= minAnswerTime
}

// provenAt returns until when an answer that is complete now shows that its features were harmless.
func (r *rules) provenAt(sent, now time.Time) time.Time {
	if r.sinceSent {
		return sent
	}
	return now
}

// actFrom is how many crashes in a row it takes until requests with a feature are kept apart from those
// with other suspected features.
func (r *rules) actFrom() int { return r.minCrashes - 2 }

// shareFrom is how many crashes in a row that other gateways may count against a feature make a
// complete answer worth reporting to them.
const shareFrom = 2
