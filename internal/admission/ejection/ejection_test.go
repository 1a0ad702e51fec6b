package ejection

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

func instances(n int) []ident.Instance {
	ids := make([]ident.Instance, n)
	for i := range ids {
		ids[i] = ident.Instance(fmt.Sprint("u", i))
	}
	return ids
}

// TestEjectionLimit checks that never more than a third of the upstreams is excluded,
// whatever fails, and that an excluded upstream is tried again in bounded time.
//
// It guards against a slow minute that leaves no upstream, and against
// upstreams that recovered and stay excluded. That happens if each upstream is
// ejected regardless of the others while many fail at once, upstreams leave
// while others are ejected, or a probe's answer never comes.
func TestEjectionLimit(t *testing.T) { rapid.Check(t, checkEjectionLimit) }

func checkEjectionLimit(t *rapid.T) {
	s := New(Config{})
	now := time.Unix(1000, 0)
	ids := instances(rapid.IntRange(1, 12).Draw(t, "upstreams"))
	s.SetUpstreams(ids)
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		id := rapid.SampledFrom(ids).Draw(t, "upstream")
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0:
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second)
		case 1:
			if len(ids) > 1 {
				ids = slices.DeleteFunc(slices.Clone(ids), func(x ident.Instance) bool { return x == id })
				s.SetUpstreams(ids)
			}
		case 2:
			s.RecordAttemptStart(now, id)
		case 3:
			s.RecordAttemptEnd(now, id, Sample{Latency: rapid.Float64Range(0.1, 10).Draw(t, "latency")})
		default:
			for range DefaultConsecutiveFailures {
				s.RecordAttemptEnd(now, id, Sample{Failed: true})
			}
		}
		if excluded := s.Excluded(now); len(excluded)*upstreamsPerEjected > len(ids) {
			t.Fatalf("%d of %d upstreams excluded, want at most a third", len(excluded), len(ids))
		}
		if late := now.Add(DefaultMaxEjectionTime + DefaultProbeTimeout); len(s.Excluded(late)) > 0 {
			t.Fatalf("%v still excluded after the longest ejection", s.Excluded(late))
		}
		checkNextChange(t, s, now)
	}
}

// checkNextChange checks that the excluded upstreams stay the same until the
// time that NextChange returns.
func checkNextChange(t *rapid.T, s *Set, now time.Time) {
	next := s.NextChange(now)
	before := now.Add(time.Hour)
	if !next.IsZero() {
		before = next.Add(-1)
	}
	if !slices.Equal(s.Excluded(before), s.Excluded(now)) {
		t.Fatalf("excluded upstreams change from %v to %v before NextChange, %v", s.Excluded(now), s.Excluded(before), next)
	}
}

// TestEjectionToRecovery follows an upstream from the cause of its ejection until it is
// healthy again.
func TestEjectionToRecovery(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		story string
		bad   func(*Set)
	}{
		{"failures in a row", func(s *Set) {
			for range DefaultConsecutiveFailures {
				s.RecordAttemptEnd(now, "u0", Sample{Failed: true})
			}
		}},
		{"far slower than its peers though it answers", func(s *Set) {
			for range DefaultSlowSamples {
				s.RecordAttemptEnd(now, "u0", Sample{Latency: 5})
				s.RecordAttemptEnd(now, "u1", Sample{Latency: 1})
				s.RecordAttemptEnd(now, "u2", Sample{Latency: 1.2})
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			s := New(Config{})
			s.SetUpstreams(instances(3))
			c.bad(s)
			if s.State("u0") != Ejected || !slices.Equal(s.Excluded(now), []ident.Instance{"u0"}) {
				t.Fatal("u0 was not ejected")
			}
			now := now.Add(DefaultBaseEjectionTime)
			if len(s.Excluded(now)) != 0 {
				t.Fatal("u0 is still excluded when its ejection is over")
			}
			s.RecordAttemptStart(now, "u0")
			if len(s.Excluded(now)) != 1 {
				t.Fatal("u0 would get a second request during its probe")
			}
			s.RecordAttemptEnd(now, "u0", Sample{Failed: true, Started: now.Add(-time.Minute)})
			if s.State("u0") != Probing {
				t.Fatal("the result of an earlier request counts as the probe's")
			}
			s.RecordAttemptEnd(now, "u0", Sample{Failed: true, Started: now})
			if len(s.Excluded(now.Add(2*DefaultBaseEjectionTime-1))) != 1 {
				t.Fatal("a failed probe did not double the ejection time")
			}
			now = now.Add(2 * DefaultBaseEjectionTime)
			for range DefaultProbes {
				s.RecordAttemptStart(now, "u0")
				s.RecordAttemptEnd(now, "u0", Sample{Latency: 1, Started: now})
			}
			if s.State("u0") != Healthy {
				t.Fatal("u0 is not healthy after good probes")
			}
		})
	}
}
