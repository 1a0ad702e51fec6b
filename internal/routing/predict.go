package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// priorities bounds the distinct priorities that are learnt apart.
	priorities = 8
	// learnRate is the weight of one observation in a learnt average.
	learnRate = 0.02
	// marginQuantile of the first tokens come within the margin, which moves
	// in steps of marginStep and up to marginMost, as logarithms of a factor.
	marginQuantile = 0.8
	marginStep     = 0.05
	marginMost     = 2
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

func (a *average) store(x float64) { a.bits.Store(math.Float64bits(x)) }

// predictor learns what reports do not tell.
//
// Engines serve higher priorities first, but their reports only give sums. What
// share of a queue goes before a new request is taken from this gateway's own
// requests: the mix of those that wait for their first token. Other gateways'
// requests are like them.
type predictor struct {
	// waiting is what waits for its first token now, by priority.
	waiting [priorities]waiting
	// margins are, by priority, the logarithm of the factor within which
	// marginQuantile of the first tokens came.
	margins [priorities]average
	// output is the mean length of the answers.
	output average
}

// waiting is this gateway's work of one priority that waits for first tokens,
// now and on average.
type waiting struct {
	requests, tokens         atomic.Int64
	meanRequests, meanTokens average
}

func priorityIndex(priority int) int { return min(max(priority, 0), priorities-1) }

func (p *predictor) started(priority, tokens int) {
	w := &p.waiting[priorityIndex(priority)]
	w.requests.Add(1)
	w.tokens.Add(int64(tokens))
	for i := range p.waiting {
		w := &p.waiting[i]
		w.meanRequests.add(float64(w.requests.Load()), 0)
		w.meanTokens.add(float64(w.tokens.Load()), 0)
	}
}

func (p *predictor) settled(priority, tokens int) {
	w := &p.waiting[priorityIndex(priority)]
	w.requests.Add(-1)
	w.tokens.Add(-int64(tokens))
}

// learn notes how a prediction came out. The margin moves up by each miss and
// down by each hit, in such a proportion that it rests at its quantile.
func (p *predictor) learn(priority int, predicted, actual time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	margin := &p.margins[priorityIndex(priority)]
	m := margin.load(0)
	if math.Log(float64(actual)/float64(predicted)) > m {
		m += marginStep * marginQuantile
	} else {
		m -= marginStep * (1 - marginQuantile)
	}
	margin.store(min(max(m, 0), marginMost))
}

// margin is the factor within which marginQuantile of the first tokens come.
func (p *predictor) margin(priority int) float64 {
	return math.Exp(p.margins[priorityIndex(priority)].load(0))
}

// shares returns which part of queued requests and of queued prefill is served
// before a new request of a priority.
func (p *predictor) shares(priority int) (requests, tokens float64) {
	var aheadRequests, allRequests, aheadTokens, allTokens float64
	for i := range p.waiting {
		r, t := p.waiting[i].meanRequests.load(0), p.waiting[i].meanTokens.load(0)
		allRequests += r
		allTokens += t
		if i >= priorityIndex(priority) {
			aheadRequests += r
			aheadTokens += t
		}
	}
	return part(aheadRequests, allRequests), part(aheadTokens, allTokens)
}

// part is a share of a whole; of nothing it is all.
func part(of, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return of / whole
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
	// batch is how many requests run at once there.
	batch float64
}

// situation adds to a report what it cannot know of yet.
func (r *Router) situation(u *blackboard.Upstream, known *slot, unseen load) situation {
	p, report := &r.params, &u.Report
	s := situation{
		rate:    orElse(report.PrefillRate, p.PrefillRate),
		step:    orElse(report.Step.Seconds(), p.Step.Seconds()),
		running: float64(report.Running),
		waiting: float64(report.Queued + unseen.requests),
		prefill: float64(report.QueuedPrefillTokens + unseen.tokens),
		batch:   known.batchSize(p.BatchLimit),
	}
	s.chunk = max(1, p.StepTokens-s.running)
	// With prefill in the queue, the reported step held a whole chunk of it.
	s.decode = max(s.step/4, s.step-min(float64(report.QueuedPrefillTokens), s.chunk)/s.rate)
	return s
}

// backlog is how long the prefill in the queue takes, in seconds.
func (s *situation) backlog() float64 { return s.prefill * (s.decode/s.chunk + 1/s.rate) }

// fill is how full an upstream is: 1 is a whole batch, or a backlog of prefill
// that counts as much. Engines with long prompts have a backlog long before
// their batch is full.
func (s *situation) fill(p *Params) float64 {
	return (s.running+s.waiting)/s.batch + s.backlog()/p.FullBacklog.Seconds()
}

// wait predicts the parts of the time to the first token: what is ahead, and
// the request's own prefill.
func (c *chooser) wait(s situation, uncached int) (ahead, own float64) {
	ahead = c.shareTokens * s.backlog()
	if room := s.batch - s.running; s.waiting > room {
		output := c.router.predictor.output.load(assumedOutput)
		release := s.running / (s.step * output)
		ahead += c.shareRequests * (s.waiting - max(0, room)) / max(release, 1e-3)
	}
	steps := math.Ceil(float64(uncached) / s.chunk)
	own = s.step/2 + steps*s.decode + float64(uncached)/s.rate
	return ahead, own
}
