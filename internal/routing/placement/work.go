package placement

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// workMemory is over how long the work of a service is averaged: two or three
// seconds show a burst before its queues have grown.
const workMemory = 2500 * time.Millisecond

// offered is how many prompt tokens a call adds to the work that callers ask: those that
// are to be read at the home of its prompt parts, once. What goes wrong if what is read
// were counted instead: where engines are short, requests are sent away from their homes
// and sent again, three times as many tokens are read, and twice the engines that the
// callers' load needs are ordered for the time after. Without that, upstreams cost a tenth
// less, at the same worth before prices.
func offered(call *forward.Call, exclude []ident.Instance) int {
	if len(exclude) > 0 {
		return 0
	}
	if call.Service.Engine == nil {
		return call.PromptTokens
	}
	return call.PromptTokens - sharedTokens(call)
}

// workOf is the work that this gateway asks of a service.
type workOf struct {
	// prompt is tokens to be read a second, running the mean number of requests
	// in progress; both decay.
	prompt, running float64
	inProgress      int
	at              time.Time
}

// moveTo lets time pass.
func (w *workOf) moveTo(now time.Time) {
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / workMemory.Seconds())
	w.prompt *= keep
	w.running = w.running*keep + float64(w.inProgress)*(1-keep)
	w.at = now
}

// began notes a request that is sent, with the tokens to be read.
func (w *workOf) began(tokens int, now time.Time) {
	w.moveTo(now)
	w.prompt += float64(tokens) / workMemory.Seconds()
	w.inProgress++
}

func (w *workOf) ended(now time.Time) {
	w.moveTo(now)
	w.inProgress--
}

// Work returns how many prompt tokens a second this gateway asks a service to
// read, and how many of its requests are in progress on average.
func (c *Chooser) Work(service ident.Service, now time.Time) (prompt, running float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := at(c.work, service)
	w.moveTo(now)
	return w.prompt, w.running
}
