package worker

import "time"

// How many requests an upstream that announces a rate limit may receive, by the users' rule.
const (
	// LimitPropagationTime is the time within which all gateways that reach each other know
	// the limit.
	LimitPropagationTime = 3 * time.Second
	// LimitWindow is the length of the window in which requests are counted. limitOverage
	// times what the limit allows in a window, plus limitSlack requests, may arrive in it.
	LimitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// MaxAllowed returns how many requests may arrive in a window at a limit.
func MaxAllowed(perSecond float64) int {
	return int(limitOverage*perSecond*LimitWindow.Seconds()) + limitSlack
}

// Arrival is a request that a worker received after it had announced a limit.
type Arrival struct {
	ID string
	At time.Time
}

// SetLimit sets the text that all answers announce as the rate limit, valid or not; empty
// announces none.
func (w *Worker) SetLimit(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = text
}

// Arrivals returns when an answer first announced a limit, and the requests received since.
func (w *Worker) Arrivals() (announcedAt time.Time, arrivals []Arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limitAnnouncedAt, append([]Arrival(nil), w.arrivals...)
}

// limitHeader returns the header line that announces the limit, or "" if there is none.
func (w *Worker) limitHeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit == "" {
		return ""
	}
	if w.limitAnnouncedAt.IsZero() {
		w.limitAnnouncedAt = time.Now()
	}
	return "Server-Limit: " + w.limit + "\r\n"
}

// MaxInWindow returns the largest number of requests received in any LimitWindow that
// begins at least LimitPropagationTime after the first announcement of a limit.
func (w *Worker) MaxInWindow() int {
	announcedAt, arrivals := w.Arrivals()
	most := 0
	for i, last := range arrivals {
		n := 0
		for _, a := range arrivals[:i+1] {
			if a.At.Sub(announcedAt) >= LimitPropagationTime && last.At.Sub(a.At) <= LimitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
