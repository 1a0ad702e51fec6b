package gossip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

// unevenLoad is a load on upstreams of one service that differ in speed.
type unevenLoad struct {
	view    *directory.View
	factors map[ident.Instance]float64
	// perGateway is the number of requests a second that each gateway sends to upstreams drawn at
	// random.
	perGateway float64
	rng        *rand.Rand
}

func newUnevenLoad(upstreams int, perGateway float64) *unevenLoad {
	l := &unevenLoad{factors: make(map[ident.Instance]float64), perGateway: perGateway, rng: rand.New(rand.NewPCG(5, 6))}
	var list []directory.Upstream
	for i := range upstreams {
		id := ident.Instance(fmt.Sprint("u", i))
		list = append(list, directory.Upstream{ID: id, Name: id, Service: "llm", State: directory.Ready})
		l.factors[id] = []float64{0.6, 1, 1.6}[i%3]
	}
	l.view = directory.NewView(list)
	return l
}

// start gives a gateway a tracker that knows nothing.
func (l *unevenLoad) start(n *node) {
	key := func(id ident.Instance) uint32 { return uint32(UpstreamKeyOf(id)) }
	n.speeds.Store(speed.New(speed.Config{Log: hclog.NewNullLogger(), Key: key, Interval: Interval}))
}

// run lets all running gateways with a tracker send requests for a time, and apply what they hear.
func (l *unevenLoad) run(f *fleet, length time.Duration) {
	ids := l.view.Of("llm")
	const step = Interval / 2
	for range length / step {
		time.Sleep(step)
		now := time.Now()
		for _, n := range f.running() {
			speeds := n.speeds.Load()
			if speeds == nil {
				continue
			}
			requests := int(l.perGateway*step.Seconds() + l.rng.Float64())
			for range requests {
				id := ids[l.rng.IntN(len(ids))].ID
				took := 100 * l.factors[id] * math.Exp(0.25*l.rng.NormFloat64())
				speeds.Record(speed.Sample{
					Upstream: id, Service: "llm", Predicted: 100 * time.Millisecond, Observed: time.Duration(took * float64(time.Millisecond)),
				}, now)
			}
			n.applySpeeds(now)
		}
	}
}

// applySpeeds applies what a gateway hears of the others.
func (n *node) applySpeeds(now time.Time) {
	var heard []speed.Heard
	for _, g := range n.gossip.View(now).Groups {
		heard = append(heard, speed.Heard{Source: g.Name, WholeFleet: g.SpeedsIncludeOwn, Entries: g.Speeds, AsOf: g.ReportedAt})
	}
	n.speeds.Load().Apply(heard)
}

// wrong returns the share of the upstreams whose factor at a gateway is off by more than a quarter.
func (l *unevenLoad) wrong(n *node) float64 {
	off := 0
	for id, want := range l.factors {
		if got := n.speeds.Load().Factor(id); got > 1.25*want || got < want/1.25 {
			off++
		}
	}
	return float64(off) / float64(len(l.factors))
}

// expectKnown fails if gateways do not know the upstreams' factors.
func (l *unevenLoad) expectKnown(t *testing.T, among []*node) {
	t.Helper()
	worst := 0.0
	for _, n := range among {
		n.speeds.Load().Refresh(l.view, time.Now())
		worst = max(worst, l.wrong(n))
	}
	t.Logf("share of factors off by more than a quarter at the worst gateway: %.3f", worst)
	if worst > 0.02 {
		t.Errorf("%.3f of the factors are off by more than a quarter at a gateway, at most 0.02 allowed", worst)
	}
}

// maxSpeedBytes is how much the exchange of speeds may add to what the median gateway of a large fleet
// sends and receives, in bytes per second.
const maxSpeedBytes = 2048

// Guards against gateways that know the speeds only of upstreams that they send to themselves, and
// against an exchange of speeds that costs more than the loads.
func TestAllLearnTheSpeedsAtEverySize(t *testing.T) {
	sizes := []struct{ gateways, domains, upstreams int }{{8, 4, 12}, {89, 4, 60}, {330, 10, 690}}
	if *playLarge {
		sizes = append(sizes, struct{ gateways, domains, upstreams int }{984, 6, 690})
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.gateways), func(t *testing.T) {
			runVirtualTime(t, func(t *testing.T) {
				f := newFleet(t, size.gateways, size.domains)
				time.Sleep(settleTime)
				const watched = 2 * time.Second
				without := f.rates(watched, func() { time.Sleep(watched) })
				load := newUnevenLoad(size.upstreams, 4200.0/330)
				for _, n := range f.order {
					load.start(n)
				}
				load.run(f, 12*time.Second)
				load.expectKnown(t, f.order)
				with := f.rates(watched, func() { load.run(f, watched) })
				median, highest := len(with)/2, len(with)-1
				more := with[median] - without[median]
				t.Logf("%d gateways, %d upstreams: %d bytes per second more than %d at the median gateway, %d more than %d at the highest, %d more on average",
					size.gateways, size.upstreams, more, without[median], with[highest]-without[highest], without[highest], mean(with)-mean(without))
				if more > maxSpeedBytes && size.gateways > 2*fanout {
					t.Errorf("speeds add %d bytes per second, at most %d allowed", more, maxSpeedBytes)
				}
			})
		})
	}
}

// rates returns how many bytes gateways send and receive per second during an action that takes a
// time, sorted.
func (f *fleet) rates(length time.Duration, action func()) []int {
	before := f.bytes()
	action()
	rates := f.bytes()
	for i := range rates {
		rates[i] = int(float64(rates[i]-before[i]) / length.Seconds())
	}
	slices.Sort(rates)
	return rates
}

func mean(rates []int) int {
	sum := 0
	for _, r := range rates {
		sum += r
	}
	return sum / len(rates)
}

// newUnevenFleet returns a fleet that knows the speeds of its upstreams.
func newUnevenFleet(t *testing.T) (*fleet, *unevenLoad) {
	f, l := newFleet(t, 24, 3), newUnevenLoad(24, 12)
	for _, n := range f.order {
		l.start(n)
	}
	time.Sleep(settleTime)
	l.run(f, 10*time.Second)
	l.expectKnown(t, f.order)
	return f, l
}

// Guards against a killed collector that takes the speeds with it.
func TestSpeedsOutliveTheCollector(t *testing.T) {
	runVirtualTime(t, func(t *testing.T) {
		f, l := newUnevenFleet(t)
		f.collectorOf("hall-b").kill()
		for range 5 {
			l.run(f, time.Second)
			l.expectKnown(t, f.running())
		}
	})
}

// Guards against a gateway that has just started and treats all upstreams alike until it has sent
// enough requests itself.
func TestAGatewayThatStartsHearsTheSpeeds(t *testing.T) {
	runVirtualTime(t, func(t *testing.T) {
		f, l := newUnevenFleet(t)
		started := f.order[20]
		started.kill()
		l.run(f, time.Second)
		l.start(started)
		started.start()
		l.run(f, 3*time.Second)
		l.expectKnown(t, f.running())
	})
}

// Guards against speeds that are taken from anywhere but observations once all gateways are gone.
func TestAfterAllWereKilledNothingIsKnown(t *testing.T) {
	runVirtualTime(t, func(t *testing.T) {
		f, l := newUnevenFleet(t)
		for _, n := range f.order {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range f.order {
			l.start(n)
			n.start()
		}
		l.perGateway = 0
		time.Sleep(settleTime)
		l.run(f, time.Second)
		for _, n := range f.order {
			n.speeds.Load().Refresh(l.view, time.Now())
			if known := len(n.speeds.Load().Factors()); known > 0 {
				t.Errorf("%s knows the factors of %d upstreams", n.contact.Node, known)
			}
		}
	})
}

// Guards against gateways of an older build, which report no speeds, being taken for ones that saw
// none differ.
func TestOlderBuildsKnowNothingOfSpeeds(t *testing.T) {
	runVirtualTime(t, func(t *testing.T) {
		f, l := newFleet(t, 24, 3), newUnevenLoad(24, 12)
		var newer []*node
		for i, n := range f.order {
			if i%2 == 1 {
				l.start(n)
				newer = append(newer, n)
			}
		}
		time.Sleep(settleTime)
		l.run(f, 20*time.Second)
		l.expectKnown(t, newer)
	})
}

// Guards against a domain that is cut off and forgets the speeds of its upstreams.
func TestADomainThatIsCutOffKeepsItsSpeeds(t *testing.T) {
	runVirtualTime(t, func(t *testing.T) {
		f, l := newUnevenFleet(t)
		f.mu.Lock()
		f.disconnected = func(a, b *node) bool { return (a.contact.Domain == "hall-b") != (b.contact.Domain == "hall-b") }
		f.mu.Unlock()
		l.run(f, 10*time.Second)
		l.expectKnown(t, f.running())
	})
}
