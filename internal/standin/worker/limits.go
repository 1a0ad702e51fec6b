package worker

import "time"

// What an upstream that names a limit may get, by the users' rule.
const (
	// LimitContact is the time within which gateways in touch know what it names.
	LimitContact = 3 * time.Second
	// LimitWindow is the time in which requests are counted: so many times what the limit
	// allows in it, and some beside it, may come.
	LimitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// Allowed is how many requests may come in a window at a rate.
func Allowed(perSecond float64) int {
	return int(limitOverage*perSecond*LimitWindow.Seconds()) + limitSlack
}

// Arrival is a request that came to a worker which had named a limit.
type Arrival struct {
	ID string
	At time.Time
}

// Limit has all answers name a rate, whatever the text, or none where it is empty.
func (w *Worker) Limit(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = text
}

// Arrivals returns the requests that came since an answer first named a limit, and when
// that was.
func (w *Worker) Arrivals() (namedAt time.Time, arrivals []Arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limitNamedAt, append([]Arrival(nil), w.arrivals...)
}

// limitHeader is the header line that names the limit, if there is one.
func (w *Worker) limitHeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit == "" {
		return ""
	}
	if w.limitNamedAt.IsZero() {
		w.limitNamedAt = time.Now()
	}
	return "Server-Limit: " + w.limit + "\r\n"
}

// MostInWindow returns the most requests that came in a window which begins after the contact
// time.
func (w *Worker) MostInWindow() int {
	named, arrivals := w.Arrivals()
	most := 0
	for i, last := range arrivals {
		n := 0
		for _, a := range arrivals[:i+1] {
			if a.At.Sub(named) >= LimitContact && last.At.Sub(a.At) <= LimitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
