package origin

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Question is what is asked about a stream that a caller takes up.
type Question struct {
	Stream Stream
	// Services are those at which it may have begun.
	Services []ident.Service
	// Within is how long ago it may have begun.
	Within time.Duration
}

// Source is how the origin of a stream became known.
type Source int

// The sources.
const (
	// NotKnown: nobody who was asked knows the stream, and several versions may have begun it.
	NotKnown Source = iota
	// Recorded: a gateway recorded it.
	Recorded
	// OnlyVersion: no other version can have begun it.
	OnlyVersion
	// Contradictory: gateways recorded different software for it.
	Contradictory
)

var sourceNames = [...]string{"not_known", "recorded", "only_version", "contradictory"}

// String returns the source's name in logs.
func (s Source) String() string { return sourceNames[s] }

// Verdict says which software began a stream.
type Verdict struct {
	Source Source
	// Origin is set if Known.
	Origin Origin
	// TooEarly: only one version is known to have been listed, but not for long enough that no other can
	// have begun the stream; or this gateway has just started and knows no other one.
	TooEarly bool
	// Asked counts the other gateways that were asked, Silent those of them that gave no answer.
	Asked, Silent int
}

// Known reports whether the software that began the stream is known.
func (v Verdict) Known() bool { return v.Source == Recorded || v.Source == OnlyVersion }

// MayBecomeKnown reports whether the same question may get another answer a little later.
func (v Verdict) MayBecomeKnown() bool { return !v.Known() && (v.TooEarly || v.Silent > 0) }

// evidence is what one gateway knows of a stream.
type evidence struct {
	// recorded are the origins that it recorded. Two different ones contradict each other.
	recorded []Origin
	// listed are the origins that the stream can have by the upstreams that were listed since it may
	// have begun.
	listed []Origin
	// unused are origins that the stream cannot have, because those upstreams have only just appeared.
	unused []Origin
	// complete: no others were listed, as of when the gateway last heard of the upstreams.
	complete bool
	// stale: that is too long ago for another version not to have begun streams since.
	stale bool
}

// decide returns which software began a stream, from what gateways know of it. It is the only place
// that does. most is set if most of the gateways that may know are among them: where none of these has
// heard of the upstreams for a while, since the store is away, none has heard of another version.
//
// Where upstreams name no version, all are taken to have the same software as long as none of the
// service's upstreams names one; beside a named version, an unnamed one may be any.
func decide(all []evidence, most bool) Verdict {
	var recorded, listed, unused []Origin
	complete := false
	for i := range all {
		recorded = append(recorded, all[i].recorded...)
		listed = append(listed, all[i].listed...)
		unused = append(unused, all[i].unused...)
		complete = complete || all[i].complete && (most || !all[i].stale)
	}
	recorded, listed = distinct(recorded), distinct(listed)
	listed = slices.DeleteFunc(listed, func(o Origin) bool { return slices.Contains(unused, o) })
	v := Verdict{Source: NotKnown, TooEarly: len(recorded) == 0 && len(listed) == 1 && !complete}
	switch {
	case len(recorded) > 1:
		v.Source = Contradictory
	case len(recorded) == 1:
		v.Source, v.Origin = Recorded, recorded[0]
	case complete && len(listed) == 1:
		v.Source, v.Origin = OnlyVersion, listed[0]
	}
	if v.Known() && v.Origin.SoftwareVersion == "" && slices.ContainsFunc(listed, func(o Origin) bool { return o.Service == v.Origin.Service && o.SoftwareVersion != "" }) {
		return Verdict{Source: NotKnown}
	}
	return v
}

// distinct returns the different origins among the given ones.
func distinct(all []Origin) []Origin {
	var out []Origin
	for _, o := range all {
		if !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}
