package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const (
	// priorities bounds the distinct priorities that are learnt apart.
	priorities = 8
	// learnRate is the weight of one observation in a learnt average.
	learnRate = 0.02
	// assumedOutput is the mean answer, in tokens, until it is learnt.
	assumedOutput = 200
)

// average is an exponentially weighted mean that many goroutines update. A
// lost update is harmless: it is one observation of many.
type average struct{ bits atomic.Uint64 }

func (a *average) load(initial float64) float64 {
	if bits := a.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return initial
}

func (a *average) add(x, initial float64) {
	old := a.load(initial)
	a.bits.Store(math.Float64bits(old + learnRate*(x-old)))
}

// predictor learns what reports do not tell.
type predictor struct {
	// ahead is, by priority, the share of an upstream's queue that is served
	// before a new request: engines serve higher priorities first, but their
	// reports only give sums.
	ahead [priorities]average
	// output is the mean length of the answers.
	output average
}

// situation is an upstream as it probably is now, in seconds and tokens.
type situation struct {
	rate    float64
	step    float64
	decode  float64
	chunk   float64
	running float64
	waiting float64
	prefill float64
}

// situation adds to a report what it cannot know of yet.
func (c *chooser) situation(r *upstream.Report, unseen load) situation {
	p := &c.router.params
	s := situation{
		rate:    orElse(r.PrefillRate, p.PrefillRate),
		step:    orElse(r.Step.Seconds(), p.Step.Seconds()),
		running: float64(r.Running),
		waiting: float64(r.Queued + unseen.requests),
		prefill: float64(r.QueuedPrefillTokens + unseen.tokens),
	}
	s.chunk = max(1, p.StepTokens-s.running)
	// With prefill in the queue, the reported step held a whole chunk of it.
	s.decode = max(s.step/4, s.step-min(float64(r.QueuedPrefillTokens), s.chunk)/s.rate)
	return s
}

// wait predicts the parts of the time to the first token: waits for what is
// ahead, which priority may skip, and the request's own prefill.
func (c *chooser) wait(s situation, uncached int) (ahead, own float64) {
	perToken := s.decode/s.chunk + 1/s.rate
	ahead = s.prefill * perToken
	room := c.router.params.BatchLimit - s.running
	if s.waiting > room {
		output := c.router.predictor.output.load(assumedOutput)
		release := s.running / (s.step * output)
		ahead += (s.waiting - max(0, room)) / max(release, 1e-3)
	}
	steps := math.Ceil(float64(uncached) / s.chunk)
	own = s.step/2 + steps*s.decode + float64(uncached)/s.rate
	return ahead, own
}

func (p *predictor) aheadOf(priority int) *average {
	return &p.ahead[min(max(priority, 0), priorities-1)]
}

// learn notes how long a first token took.
func (p *predictor) learn(t *Ticket, took time.Duration) {
	const least = 0.005
	if t.ahead < least {
		return
	}
	share := (took.Seconds() - t.own) / t.ahead
	p.aheadOf(t.priority).add(min(max(share, 0.001), 2), 1)
}
