package enginemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine is an engine that follows the model exactly. rate is in tokens per second, base and
// running are in seconds.
type engine struct{ rate, base, running float64 }

// first returns the time to a first event, in seconds.
func (e engine) first(own, ahead, running float64) float64 {
	return e.base + (own+ahead)/e.rate + running*e.running
}

// fleet generates samples of one kind of engine.
type fleet struct {
	engine
	random *rand.Rand
	// spoil, if not nil, changes the time to the first event of a sample, in seconds.
	spoil func(random *rand.Rand, s Sample, first float64) float64
}

func newFleet(rate float64) *fleet {
	return &fleet{engine: engine{rate: rate, base: 0.015, running: 0.001}, random: rand.New(rand.NewPCG(1, 2))}
}

func (f *fleet) sample() Sample {
	s := Sample{OwnTokens: 100 + f.random.ExpFloat64()*1500, Running: float64(f.random.IntN(8))}
	if f.random.IntN(3) == 0 {
		s.TokensAhead = f.random.ExpFloat64() * 1500
	}
	first := f.first(s.OwnTokens, s.TokensAhead, s.Running) * (0.9 + 0.2*f.random.Float64())
	if f.spoil != nil {
		first = f.spoil(f.random, s, first)
	}
	s.FirstEvent = seconds(first)
	return s
}

// addSamples gives each gateway a number of samples. The gateways exchange their sums at once.
func (f *fleet) addSamples(gateways []Sums, samples int) Estimate {
	for range samples {
		for g := range gateways {
			gateways[g].AddSample(f.sample(), total(gateways).Fit())
		}
	}
	return total(gateways).Fit()
}

func total(gateways []Sums) Sums {
	var sum Sums
	for _, g := range gateways {
		sum.Add(g)
	}
	return sum
}

// relativeError returns the relative error of the estimated rate.
func relativeError(e Estimate, rate float64) float64 { return math.Abs(e.Rate()/rate - 1) }

// Guards against work going to the wrong engines, and too few engines being kept, on machines
// of an unknown kind, when a system has just started: a constant suits only some machines. An
// error of 25 percent is allowed, because placement ranks engines by differences, and one more
// engine in a domain is a fifth more anyway.
func TestTheRateIsRightAfterFiftyRequests(t *testing.T) {
	for _, rate := range []float64{10_000, 30_900, 92_100, 200_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			if got := newFleet(rate).addSamples(make([]Sums, 1), 50); relativeError(got, rate) > 0.25 {
				t.Errorf("one gateway, 50 requests: rate %.0f, want %.0f", got.Rate(), rate)
			}
			if got := newFleet(rate).addSamples(make([]Sums, 9), 6); relativeError(got, rate) > 0.25 {
				t.Errorf("nine gateways, six requests each: rate %.0f, want %.0f", got.Rate(), rate)
			}
		})
	}
}

// Guards against upstreams being given up before callers come, because engines that are not
// known yet count as fast.
func TestBeforeAnythingWasSeenEnginesAreTakenForSlow(t *testing.T) {
	if got := (Sums{}).Fit(); got.Rate() > 20_001 || got.Samples != 0 {
		t.Errorf("rate %.0f of %.0f samples before any sample, want at most 20001 of 0", got.Rate(), got.Samples)
	}
	f := newFleet(92_100)
	if got := f.addSamples(make([]Sums, 1), 3); got.Rate() > 92_100 {
		t.Errorf("rate %.0f after three requests, want at most 92100", got.Rate())
	}
}

// Guards against all engines counting as slow, and more being ordered, because some engines
// are slow, are frozen or lack cached tokens that they were believed to hold. A plain mean
// would follow such samples.
func TestOddSamplesDoNotMislead(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(random *rand.Rand, s Sample, first float64) float64
	}{
		{"one engine in six takes five times as long", func(r *rand.Rand, _ Sample, first float64) float64 {
			if r.IntN(6) == 0 {
				return 5 * first
			}
			return first
		}},
		{"one request in ten waits for seconds", func(r *rand.Rand, _ Sample, first float64) float64 {
			if r.IntN(10) == 0 {
				return first + 3*r.Float64()
			}
			return first
		}},
		{"one in five reads 5,000 tokens that it was believed to hold", func(r *rand.Rand, _ Sample, first float64) float64 {
			if r.IntN(5) == 0 {
				return first + 5000.0/30_900
			}
			return first
		}},
		{"one in five holds half of what it was believed to read", func(r *rand.Rand, s Sample, first float64) float64 {
			if r.IntN(5) == 0 {
				return first - s.OwnTokens/2/30_900
			}
			return first
		}},
		{"half of the work ahead is not known", func(r *rand.Rand, _ Sample, first float64) float64 {
			if r.IntN(4) == 0 {
				return first + r.ExpFloat64()*1500/30_900
			}
			return first
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(30_900)
			f.spoil = c.spoil
			if got := f.addSamples(make([]Sums, 4), 100); relativeError(got, 30_900) > 0.25 {
				t.Errorf("rate %.0f, want 30900", got.Rate())
			}
		})
	}
}

// Guards against too few engines for minutes after the operators change to slower machines,
// because old samples are never forgotten. 75 requests are 15 s at 5 per second.
func TestAnotherKindOfEngineIsFollowed(t *testing.T) {
	for _, c := range []struct{ before, after float64 }{{92_100, 30_900}, {30_900, 92_100}} {
		gateways := make([]Sums, 4)
		newFleet(c.before).addSamples(gateways, 300)
		if got := newFleet(c.after).addSamples(gateways, 75); relativeError(got, c.after) > 0.25 {
			t.Errorf("rate %.0f after a change from %.0f, want %.0f", got.Rate(), c.before, c.after)
		}
	}
}

// Whatever the samples are, the fit must not panic or give meaningless coefficients.
func FuzzFit(f *testing.F) {
	f.Add(int64(1), 100.0, 0.0, 3.0)
	f.Add(int64(-1), 0.0, -1.0, 1e9)
	f.Fuzz(func(t *testing.T, first int64, own, ahead, running float64) {
		if math.IsNaN(own+ahead+running) || math.Abs(own)+math.Abs(ahead)+math.Abs(running) > 1e9 {
			t.Skip()
		}
		var s Sums
		for range 3 {
			s.AddSample(Sample{OwnTokens: own, TokensAhead: ahead, Running: running, FirstEvent: time.Duration(first % int64(time.Hour))}, s.Fit())
		}
		got := s.Fit()
		if !(got.Rate() >= 4_999 && got.Rate() <= 1_000_001) || got.Base <= 0 || !(got.SecondsPerRunning > 0) {
			t.Fatalf("meaningless coefficients: %+v", got)
		}
	})
}

func BenchmarkAddSampleAndFit(b *testing.B) {
	f := newFleet(30_900)
	var s Sums
	sample := f.sample()
	b.ReportAllocs()
	for b.Loop() {
		s.AddSample(sample, s.Fit())
	}
}
