package retry

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// SharedConfig bounds what arrives at a service beyond first attempts, over all
// gateways together, in any window.
type SharedConfig struct {
	// Ratio of further arrivals to the service's requests in a window, and
	// Slack beside it.
	Ratio, Slack float64
	Window       time.Duration
}

const (
	// usedBudgetShare is the part of the bound that is used: gateways that are
	// not known yet, and arrivals that a cut delays into another window, take
	// the rest.
	usedBudgetShare = 0.6
	// minGateways is how many are assumed while fewer are known, so that a
	// gateway that was just started does not take the whole slack.
	minGateways = 4
)

// Shared is a retry budget of many services that gateways keep together without
// talking: each has its requests' part of the ratio, and an even part of the
// slack. It is safe for concurrent use.
type Shared struct {
	cfg SharedConfig
	// gateways returns how many gateways there may be.
	gateways func() int

	mu       sync.Mutex
	services map[ident.Service]*window
}

// window counts events in slices of a sliding window.
type window struct {
	firsts, extras [sliceCount]float64
	// slice numbers the newest slice.
	slice int64
}

const sliceCount = 10

// NewShared returns a budget in which nothing was spent.
func NewShared(cfg SharedConfig, gateways func() int) *Shared {
	return &Shared{cfg: cfg, gateways: gateways, services: make(map[ident.Service]*window)}
}

// FirstTry notes a request's first attempt.
func (s *Shared) FirstTry(service ident.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.currentWindow(service, now)
	w.firsts[w.slice%sliceCount]++
}

// Spend takes one further arrival, or reports that the budget has none left.
func (s *Shared) Spend(service ident.Service, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.currentWindow(service, now)
	gateways := max(s.gateways(), minGateways)
	allowed := usedBudgetShare * (s.cfg.Ratio*sum(w.firsts) + s.cfg.Slack/float64(gateways))
	if sum(w.extras)+1 > allowed {
		return false
	}
	w.extras[w.slice%sliceCount]++
	return true
}

func sum(counts [sliceCount]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// currentWindow returns a service's window, moved to the present.
func (s *Shared) currentWindow(service ident.Service, now time.Time) *window {
	slice := now.UnixNano() / int64(s.cfg.Window/sliceCount)
	w := s.services[service]
	if w == nil {
		w = &window{slice: slice}
		s.services[service] = w
	}
	for w.slice < slice {
		w.slice++
		w.firsts[w.slice%sliceCount], w.extras[w.slice%sliceCount] = 0, 0
		if slice-w.slice > sliceCount {
			w.slice = slice - sliceCount
		}
	}
	return w
}
