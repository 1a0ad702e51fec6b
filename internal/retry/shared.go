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
	// sharedMargin is the part of the bound that is used: gateways that are
	// not known yet, and arrivals that a cut delays into another window, take
	// the rest.
	sharedMargin = 0.6
	// fewestGateways is how many are assumed while fewer are known, so that a
	// gateway that was just started does not take the whole slack.
	fewestGateways = 4
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
	firsts, extras [slices]float64
	// slice numbers the newest slice.
	slice int64
}

const slices = 10

// NewShared returns a budget in which nothing was spent.
func NewShared(cfg SharedConfig, gateways func() int) *Shared {
	return &Shared{cfg: cfg, gateways: gateways, services: make(map[ident.Service]*window)}
}

// FirstTry notes a request's first attempt.
func (s *Shared) FirstTry(service ident.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.at(service, now)
	w.firsts[w.slice%slices]++
}

// Spend takes one further arrival, or reports that the budget has none left.
func (s *Shared) Spend(service ident.Service, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.at(service, now)
	gateways := max(s.gateways(), fewestGateways)
	allowed := sharedMargin * (s.cfg.Ratio*sum(w.firsts) + s.cfg.Slack/float64(gateways))
	if sum(w.extras)+1 > allowed {
		return false
	}
	w.extras[w.slice%slices]++
	return true
}

func sum(counts [slices]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// at returns a service's window, moved to the present.
func (s *Shared) at(service ident.Service, now time.Time) *window {
	slice := now.UnixNano() / int64(s.cfg.Window/slices)
	w := s.services[service]
	if w == nil {
		w = &window{slice: slice}
		s.services[service] = w
	}
	for w.slice < slice {
		w.slice++
		w.firsts[w.slice%slices], w.extras[w.slice%slices] = 0, 0
		if slice-w.slice > slices {
			w.slice = slice - slices
		}
	}
	return w
}
