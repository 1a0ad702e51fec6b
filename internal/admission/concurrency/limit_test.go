package concurrency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const unloaded = 100 * time.Millisecond

// upstreamLatency is an upstream that answers at once up to capacity and queues beyond.
func upstreamLatency(inFlight, capacity int) time.Duration {
	return unloaded * time.Duration(max(inFlight, capacity)) / time.Duration(capacity)
}

// settle lets gateways with a limit each share an upstream, all using their
// limit fully, and returns the sum of the limits.
func settle(limits []*Limit, capacity, rounds int, known bool) int {
	total := 0
	for range rounds {
		total = 0
		for _, l := range limits {
			total += l.Value()
		}
		for _, l := range limits {
			s := Sample{Latency: upstreamLatency(total, capacity), InFlight: l.Value()}
			if known {
				s.Unloaded = unloaded
			}
			l.Observe(s)
		}
	}
	return total
}

// TestFollowsCapacity: gateways that do not talk to each other settle between
// an upstream's capacity and a short queue there, and follow a change.
//
// Symptom: a slow upstream holds more and more requests. Sequence: its capacity
// falls to a quarter under full load. Cause: the limit stays as it was.
func TestFollowsCapacity(t *testing.T) {
	for _, gateways := range []int{1, 6} {
		limits := make([]*Limit, gateways)
		for i := range limits {
			limits[i] = New(Config{})
		}
		for _, capacity := range []int{64, 16, 64} {
			total := settle(limits, capacity, 1000, true)
			if total < capacity || total > 4*capacity {
				t.Errorf("%d gateways, capacity %d: limits add up to %d", gateways, capacity, total)
			}
		}
	}
}

// TestRecovers: after a rush the limit is back within few answers that come
// well in time.
func TestRecovers(t *testing.T) {
	l := New(Config{Initial: 2})
	for range 20 {
		l.Observe(Sample{Latency: unloaded, Goal: 4 * unloaded, InFlight: l.Value()})
	}
	if l.Value() < 10 {
		t.Errorf("limit %d after 20 answers in time, want 10", l.Value())
	}
}

// TestBounds: no sequence of samples takes the limit out of its bounds, idle
// upstreams do not raise it, and drops lower it.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Initial: 10, Min: 2, Max: 50}
		l := New(config)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			before := l.value
			s := Sample{
				Latency:  time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "latency")),
				Unloaded: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "unloaded")),
				InFlight: rapid.IntRange(0, 60).Draw(t, "in flight"),
				Dropped:  rapid.Bool().Draw(t, "dropped"),
			}
			l.Observe(s)
			if l.value < config.Min || l.value > config.Max {
				t.Fatalf("limit %v", l.value)
			}
			if s.Dropped && before > config.Min && l.value >= before {
				t.Fatalf("limit %v after a drop at %v", l.value, before)
			}
			if float64(s.InFlight) < before/2 && l.value > before {
				t.Fatalf("limit grew from %v to %v with %d in flight", before, l.value, s.InFlight)
			}
		}
	})
}
