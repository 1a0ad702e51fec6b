package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// priorityLevels bounds the distinct priorities that are learnt apart.
	priorityLevels = 8
	// averageWeight is the weight of one observation in a learnt average.
	averageWeight = 0.02
	// marginQuantile of the first tokens come within the margin, which moves
	// in steps of marginStep and up to marginMost, as logarithms of a factor.
	marginQuantile = 0.8
	logMarginStep  = 0.05
	maxLogMargin   = 2
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
	a.bits.Store(math.Float64bits(old + averageWeight*(x-old)))
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
	waiting [priorityLevels]waitingWork
	// margins are, by priority, the logarithm of the factor within which
	// marginQuantile of the first tokens came.
	margins [priorityLevels]average
	// output is the mean length of the answers.
	output average
}

// waitingWork is this gateway's work of one priority that waits for first tokens,
// now and on average.
type waitingWork struct {
	requests, tokens         atomic.Int64
	meanRequests, meanTokens average
}

func priorityIndex(priority int) int { return min(max(priority, 0), priorityLevels-1) }

func (p *predictor) addWaiting(priority, tokens int) {
	w := &p.waiting[priorityIndex(priority)]
	w.requests.Add(1)
	w.tokens.Add(int64(tokens))
	for i := range p.waiting {
		w := &p.waiting[i]
		w.meanRequests.add(float64(w.requests.Load()), 0)
		w.meanTokens.add(float64(w.tokens.Load()), 0)
	}
}

func (p *predictor) removeWaiting(priority, tokens int) {
	w := &p.waiting[priorityIndex(priority)]
	w.requests.Add(-1)
	w.tokens.Add(-int64(tokens))
}

// learnMargin notes how a prediction came out. The margin moves up by each miss and
// down by each hit, in such a proportion that it rests at its quantile.
func (p *predictor) learnMargin(priority int, predicted, actual time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	margin := &p.margins[priorityIndex(priority)]
	m := margin.load(0)
	if math.Log(float64(actual)/float64(predicted)) > m {
		m += logMarginStep * marginQuantile
	} else {
		m -= logMarginStep * (1 - marginQuantile)
	}
	margin.store(min(max(m, 0), maxLogMargin))
}

// margin is the factor within which marginQuantile of the first tokens come.
func (p *predictor) margin(priority int) float64 {
	return math.Exp(p.margins[priorityIndex(priority)].load(0))
}

// sharesAhead returns which part of queued requests and of queued prefill is served
// before a new request of a priority.
func (p *predictor) sharesAhead(priority int) (requests, tokens float64) {
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
	return shareOf(aheadRequests, allRequests), shareOf(aheadTokens, allTokens)
}

// shareOf is a share of a whole; of nothing it is all.
func shareOf(of, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return of / whole
}

// engineState is an upstream as it probably is now, in seconds and tokens.
type engineState struct {
	prefillRate  float64
	stepTime     float64
	decodeTime   float64
	chunkTokens  float64
	running      float64
	queued       float64
	queuedTokens float64
	// batchSize is how many requests run at once there.
	batchSize float64
}

// stateOf adds to a report what it cannot know of yet.
func (r *Router) stateOf(u *blackboard.Upstream, known *localState, unseen sentWork) engineState {
	p, report := &r.params, &u.Report
	s := engineState{
		prefillRate:  orElse(report.PrefillRate, p.PrefillRate),
		stepTime:     orElse(report.Step.Seconds(), p.StepTime.Seconds()),
		running:      float64(report.Running),
		queued:       float64(report.Queued + unseen.requests),
		queuedTokens: float64(report.QueuedPrefillTokens + unseen.tokens),
		batchSize:    known.batchSize(p.BatchLimit),
	}
	s.chunkTokens = max(1, p.StepTokens-s.running)
	// With prefill in the queue, the reported step held a whole chunk of it.
	s.decodeTime = max(s.stepTime/4, s.stepTime-min(float64(report.QueuedPrefillTokens), s.chunkTokens)/s.prefillRate)
	return s
}

// backlog is how long the prefill in the queue takes, in seconds.
func (s *engineState) backlog() float64 {
	return s.queuedTokens * (s.decodeTime/s.chunkTokens + 1/s.prefillRate)
}

// fill is how full an upstream is: 1 is a whole batch, or a backlog of prefill
// that counts as much. Engines with long prompts have a backlog long before
// their batch is full.
func (s *engineState) fill(p *Params) float64 {
	return (s.running+s.queued)/s.batchSize + s.backlog()/p.FullBacklog.Seconds()
}

// predictWait predicts the parts of the time to the first token: what is ahead, and
// the request's own prefill.
func (c *chooser) predictWait(s engineState, uncached int) (ahead, own float64) {
	ahead = c.tokenShareAhead * s.backlog()
	if room := s.batchSize - s.running; s.queued > room {
		output := c.router.predictor.output.load(assumedOutput)
		release := s.running / (s.stepTime * output)
		ahead += c.requestShareAhead * (s.queued - max(0, room)) / max(release, 1e-3)
	}
	steps := math.Ceil(float64(uncached) / s.chunkTokens)
	own = s.stepTime/2 + steps*s.decodeTime + float64(uncached)/s.prefillRate
	return ahead, own
}
