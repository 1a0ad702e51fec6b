package poison

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// poisonKind is a kind of poison requests: those with one content or, if part is set, those with
// one prompt part and contents that are all different.
type poisonKind struct {
	part uint64
	// with are other parts of each request, until apartFrom, unless that is 0; from then on half of the
	// requests have the part alone.
	with      []uint64
	apartFrom time.Duration
	// withIsPoison: the parts in with crash upstreams too; from apartFrom on half of the requests have them alone.
	withIsPoison bool
	// repeats is how often the client of a broken-off request sends it again, with the same content.
	repeats int
	// soundInterval is the mean time between sound requests that have the parts in with; 0 for none.
	soundInterval time.Duration
	// harmlessUntil is the time until which its requests are served, and harmlessSoftware the software
	// that serves them always.
	harmlessUntil    time.Duration
	harmlessSoftware Software
	// meanInterval is the mean time between its arrivals, and burst how many requests arrive at
	// a time; 0 means one.
	meanInterval time.Duration
	burst        int
	// crashDelay is the time from the start at an upstream to the crash.
	crashDelay time.Duration
	// maxSends is how often a gateway may send one arrival to upstreams.
	maxSends int
	// startsAt is the time of its first arrival.
	startsAt time.Duration
	// group chooses the preferred upstream, which all requests of the group share.
	group int
}

type request struct {
	id      int
	content ident.ContentHash
	// features are the content and the shared prompt parts, and harmful those of them that crash
	// upstreams.
	features, harmful []ident.Feature
	// kin: the request is sound and shares a part with poison requests.
	kin     bool
	poison  *poisonKind
	gateway *gateway
	// retries counts the client's retries; sends counts how often this arrival was sent.
	retries, sends, maxSends int
	crashed                  bool
	group                    int
	waitingSince, sentAt     time.Duration
	upstream                 *upstream
	onFinished               func()
}

// ordinaryArrives sends an ordinary request to a gateway and schedules the next one.
func (f *fleet) ordinaryArrives() {
	rate := f.s.rate
	if f.s.burst && f.Now() > 5*time.Second && f.Now() < 10*time.Second {
		rate *= 2
	}
	f.In(f.randomExp(time.Duration(float64(time.Second)/rate)), f.ordinaryArrives)
	f.lastID++
	r := &request{id: f.lastID, content: f.uniqueContent(), maxSends: 1 + 2*f.rng.IntN(2), group: f.rng.IntN(10)}
	if f.rng.Float64() < f.s.hotShare {
		r.content, r.maxSends, r.group = ident.ContentHashOf(999, 0), 3, 5
	}
	r.setFeatures(subjectPart+uint64(f.partsRng.IntN(1+f.partsRng.IntN(60))), sessionPart+uint64(f.partsRng.IntN(400)))
	f.countOrdinary(r)
	f.receive(r)
}

// Ordinary requests have the first part of their group, a subject and a session.
const (
	groupPart   = 1_000
	subjectPart = 2_000
	sessionPart = 3_000
)

func (f *fleet) uniqueContent() ident.ContentHash {
	return ident.ContentHashOf(ident.OutlineHash(1_000_000+f.lastID), 0)
}

// setFeatures sets a request's features: its content, its group's part and the given parts.
func (r *request) setFeatures(parts ...uint64) {
	r.features = []ident.Feature{r.content.Feature(), part(groupPart + uint64(r.group))}
	for _, p := range parts {
		r.features = append(r.features, part(p))
	}
}

func (f *fleet) countOrdinary(r *request) {
	f.result.ordinary++
	r.kin = r.kin || slices.ContainsFunc(f.s.poisonKinds, func(k poisonKind) bool { return k.part != 0 && k.group == r.group })
	if r.kin {
		f.result.kin++
	}
}

// soundKinArrives sends a sound request that has the parts that a kind of poison requests has beside
// the harmful one.
func (f *fleet) soundKinArrives(k *poisonKind) {
	f.In(f.randomExp(k.soundInterval), func() { f.soundKinArrives(k) })
	f.lastID++
	r := &request{id: f.lastID, content: f.uniqueContent(), maxSends: 1, group: k.group, kin: true}
	r.setFeatures(k.with...)
	f.countOrdinary(r)
	f.receive(r)
}

func (f *fleet) poisonArrives(k *poisonKind, content ident.ContentHash) {
	for range max(1, k.burst) {
		f.lastID++
		r := &request{id: f.lastID, content: content, poison: k, maxSends: k.maxSends, group: k.group}
		f.setPoison(r)
		f.receive(r)
	}
	f.In(f.randomExp(k.meanInterval), func() { f.poisonArrives(k, content) })
}

// setPoison sets the features of a poison request.
func (f *fleet) setPoison(r *request) {
	k := r.poison
	if k.part == 0 {
		r.setFeatures()
		r.harmful = r.features[:1]
		return
	}
	r.content = f.uniqueContent()
	apart := k.apartFrom > 0 && f.Now() >= k.apartFrom
	switch {
	case apart && k.withIsPoison && f.rng.IntN(2) == 0:
		r.setFeatures(k.with...)
	case apart:
		r.setFeatures(k.part)
	default:
		r.setFeatures(append([]uint64{k.part}, k.with...)...)
	}
	for _, x := range r.features[2:] {
		if x.Value == k.part || k.withIsPoison {
			r.harmful = append(r.harmful, x)
		}
	}
}

// known returns the request's features that its gateway knows or suspects.
func (r *request) known() []ident.Feature {
	t := r.gateway.tracker
	if t.KnowsNone() {
		return nil
	}
	var known []ident.Feature
	if t.Knows(r.content.Outline()) {
		known = append(known, r.features[0])
	}
	return t.AppendKnownParts(known, r.features[1:])
}
