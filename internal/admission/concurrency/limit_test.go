package concurrency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const unloaded = 100 * time.Millisecond

// upstreamLatency returns the latency at an upstream that answers as many
// requests as its capacity without queueing and queues the others.
func upstreamLatency(inFlight, capacity int) time.Duration {
	return unloaded * time.Duration(max(inFlight, capacity)) / time.Duration(capacity)
}

// settle simulates gateways, with a limit each, that share an upstream and use
// their limits fully. It returns the sum of the limits after the rounds. The
// samples state the unloaded latency if known is set.
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

// TestFollowsCapacity checks that the limits of gateways that don't communicate
// settle between an upstream's capacity and a short queue there, and follow a
// change of capacity.
//
// It guards against an upstream that holds more and more requests: its capacity
// falls to a quarter under full load and the limits stay as they were.
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

// TestRecovers checks that after a load spike a few fast answers bring the limit
// back up.
func TestRecovers(t *testing.T) {
	l := New(Config{Initial: 2})
	for range 20 {
		l.Observe(Sample{Latency: unloaded, Goal: 4 * unloaded, InFlight: l.Value()})
	}
	if l.Value() < 10 {
		t.Errorf("limit %d after 20 fast answers, want at least 10", l.Value())
	}
}

// TestBounds checks that no sequence of samples moves the limit out of its
// bounds, that samples at low load don't raise it, and that drops lower it.
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
				t.Fatalf("limit %v, want between %v and %v", l.value, config.Min, config.Max)
			}
			if s.Dropped && before > config.Min && l.value >= before {
				t.Fatalf("limit %v after a drop, want less than the %v before", l.value, before)
			}
			if float64(s.InFlight) < before/2 && l.value > before {
				t.Fatalf("limit grew from %v to %v with %d in flight", before, l.value, s.InFlight)
			}
		}
	})
}
