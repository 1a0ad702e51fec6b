package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// priorityLevels is how many priorities are learned separately; higher ones
	// share the last level.
	priorityLevels = 8
	// averageWeight is the weight of one observation in a learned average.
	averageWeight = 0.02
	// marginQuantile is the share of first tokens that arrive within the
	// margin. The margin is a factor, of which the logarithm is kept: it moves in
	// steps of up to logMarginStep and is at most maxLogMargin.
	marginQuantile = 0.8
	logMarginStep  = 0.05
	maxLogMargin   = 2
	// assumedOutput is the mean length of an answer, in tokens, that the learned
	// mean starts from.
	assumedOutput = 200
)

// average is an exponentially weighted mean that many goroutines update. An
// update that is lost in a race is harmless, as it is one observation of many.
type average struct{ bits atomic.Uint64 }

// load returns the mean, or initial if nothing was added or stored.
func (a *average) load(initial float64) float64 {
	if bits := a.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return initial
}

// add moves the mean, which begins at initial, towards an observation.
func (a *average) add(x, initial float64) {
	old := a.load(initial)
	a.bits.Store(math.Float64bits(old + averageWeight*(x-old)))
}

func (a *average) store(x float64) { a.bits.Store(math.Float64bits(x)) }

// predictor learns from this gateway's requests what the reports of engines do
// not contain.
//
// Engines serve higher priorities first, but their reports give only the sums
// over all priorities. The share of a queue that is served before a new request
// is estimated from the priorities of this gateway's own requests that wait for
// their first token, on the assumption that the requests of other gateways have
// the same mix.
type predictor struct {
	// waiting is the work that waits for its first token, by priority.
	waiting [priorityLevels]waitingWork
	// margins are the logarithms of the margins, by priority; see learnMargin.
	margins [priorityLevels]average
	// output is the mean MaxTokens of the requests. It stands for the mean length of
	// the answers.
	output average
}

// waitingWork counts this gateway's requests of one priority that wait for their
// first token, and their uncached tokens, now and on average.
type waitingWork struct {
	requests, tokens         atomic.Int64
	meanRequests, meanTokens average
}

// priorityIndex returns the level at which a priority is learned.
func priorityIndex(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// addWaiting records a request that begins to wait for its first token, and
// updates the averages of all priorities.
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

// removeWaiting undoes addWaiting when the first token arrives or the attempt
// ends.
func (p *predictor) removeWaiting(priority, tokens int) {
	w := &p.waiting[priorityIndex(priority)]
	w.requests.Add(-1)
	w.tokens.Add(-int64(tokens))
}

// learnMargin compares a predicted time to the first token with the actual one.
// The margin grows if the first token arrived later than the prediction times
// the margin, and shrinks otherwise. The two steps are in such a proportion that
// the margin settles where marginQuantile of the first tokens arrive in time.
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

// margin returns the factor by which predictions are multiplied so that
// marginQuantile of the first tokens arrive in time.
func (p *predictor) margin(priority int) float64 {
	return math.Exp(p.margins[priorityIndex(priority)].load(0))
}

// sharesAhead returns the shares of an upstream's queued requests and queued
// prefill tokens that are served before a new request of a priority: those of
// the same or a higher priority.
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

// shareOf returns part as a share of whole, or 1 if whole is not positive.
func shareOf(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

// engineState is the estimated current state of an engine.
type engineState struct {
	// prefillRate is in tokens per second.
	prefillRate float64
	// stepTime is the time of an engine step and decodeTime the part of it that
	// decoding takes, in seconds.
	stepTime   float64
	decodeTime float64
	// chunkTokens is how many prefill tokens fit into one step.
	chunkTokens float64
	// running and queued count requests.
	running float64
	queued  float64
	// queuedTokens is the prefill in the queue, in tokens.
	queuedTokens float64
	// batchSize is how many requests run at once.
	batchSize float64
}

// stateOf combines an upstream's report with the work that this gateway sent
// after the report was made.
func (r *Router) stateOf(u *blackboard.Upstream, local *localState, unreported sentWork) engineState {
	p, report := &r.params, &u.Report
	s := engineState{
		prefillRate:  orElse(report.PrefillRate, p.PrefillRate),
		stepTime:     orElse(report.Step.Seconds(), p.StepTime.Seconds()),
		running:      float64(report.Running),
		queued:       float64(report.Queued + unreported.requests),
		queuedTokens: float64(report.QueuedPrefillTokens + unreported.tokens),
		batchSize:    local.batchSize(p.BatchLimit),
	}
	s.chunkTokens = max(1, p.StepTokens-s.running)
	// If prefill is queued, the reported step time includes the prefill of a
	// whole chunk, or of the queue if that is less.
	s.decodeTime = max(s.stepTime/4, s.stepTime-min(float64(report.QueuedPrefillTokens), s.chunkTokens)/s.prefillRate)
	return s
}

// backlog returns how long the queued prefill takes, in seconds.
func (s *engineState) backlog() float64 {
	return s.queuedTokens * (s.decodeTime/s.chunkTokens + 1/s.prefillRate)
}

// fill returns how full an engine is: 1 is a full batch, or a backlog of
// FullBacklog. The backlog counts too because engines with long prompts have one
// long before their batch is full.
func (s *engineState) fill(p *Params) float64 {
	return (s.running+s.queued)/s.batchSize + s.backlog()/p.FullBacklog.Seconds()
}

// predictWait predicts the two parts of the time to the first token, in seconds:
// the wait for work that is ahead of the request, and the request's own prefill.
func (c *chooser) predictWait(s engineState, uncached int) (ahead, own float64) {
	ahead = c.tokenShareAhead * s.backlog()
	if free := s.batchSize - s.running; s.queued > free {
		output := c.router.predictor.output.load(assumedOutput)
		// finishing is how many running requests finish per second.
		finishing := s.running / (s.stepTime * output)
		ahead += c.requestShareAhead * (s.queued - max(0, free)) / max(finishing, 1e-3)
	}
	steps := math.Ceil(float64(uncached) / s.chunkTokens)
	own = s.stepTime/2 + steps*s.decodeTime + float64(uncached)/s.prefillRate
	return ahead, own
}
