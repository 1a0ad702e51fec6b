// Package quota keeps one client account within its document's limits at one
// gateway.
//
// A document's limits hold for the whole system, but gateways do not ask each
// other. Each takes an equal part of every limit; Divide states the parts and
// their error. The package is pure: time is passed in.
package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
)

// retryReserveShare is the part of a burst that only returning requests use.
const retryReserveShare = 0.25

// Divide returns one gateway's part of a limit among live gateways.
//
// Error, with g gateways of which each believes that there are between l and
// h, and an evenly spreading balancer:
//   - requests a second: the sum is at most limit*g/l, at least limit*g/h;
//   - burst and in-flight are rounded up to at least 1, so their sum is
//     below (limit+h)*g/l: with more gateways than the limit, each lets one in;
//   - an account whose connections all end at one gateway gets that
//     gateway's part alone.
func Divide(limit document.AccountLimit, gateways int) document.AccountLimit {
	if gateways <= 1 {
		return limit
	}
	limit.RequestsPerSecond /= float64(gateways)
	limit.Burst = divideUp(limit.Burst, gateways)
	limit.MaxInFlight = divideUp(limit.MaxInFlight, gateways)
	return limit
}

func divideUp(n, parts int) int {
	if n <= 0 {
		return n
	}
	return (n + parts - 1) / parts
}

// Account is the use that one client account makes of one gateway.
type Account struct {
	limit        document.AccountLimit
	limiter      *rate.Limiter
	retryReserve float64
	inFlight     int
}

// NewAccount returns an account without use.
func NewAccount(limit document.AccountLimit, now time.Time) *Account {
	a := &Account{}
	a.applyLimit(limit, now)
	return a
}

// SetLimit applies a changed limit; what is in flight stays.
func (a *Account) SetLimit(limit document.AccountLimit, now time.Time) {
	if a.limit != limit {
		a.applyLimit(limit, now)
	}
}

func (a *Account) applyLimit(limit document.AccountLimit, now time.Time) {
	a.limit = limit
	if limit.RequestsPerSecond <= 0 {
		a.limiter = nil
		return
	}
	burst := max(limit.Burst, 1)
	a.retryReserve = math.Ceil(float64(burst) * retryReserveShare)
	if burst == 1 {
		// A burst of 1 leaves nothing to reserve: first tries would take
		// each token as it appears and no return time would hold. So
		// returning requests get one more, and the limit is exceeded by 1.
		burst = 2
	}
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(limit.RequestsPerSecond), burst)
		return
	}
	a.limiter.SetLimitAt(now, rate.Limit(limit.RequestsPerSecond))
	a.limiter.SetBurstAt(now, burst)
}

// Limit returns the limit in force.
func (a *Account) Limit() document.AccountLimit { return a.limit }

// InFlight returns how many requests are counted.
func (a *Account) InFlight() int { return a.inFlight }

// AtMaxInFlight reports whether the in-flight limit is reached.
func (a *Account) AtMaxInFlight() bool {
	return a.limit.MaxInFlight > 0 && a.inFlight >= a.limit.MaxInFlight
}

// Delay returns how long until the rate allows a request; 0 is now. A first
// try leaves the reserve to those who were told to return.
func (a *Account) Delay(now time.Time, returning bool) time.Duration {
	if a.limiter == nil {
		return 0
	}
	need := 1.0
	if !returning {
		need += a.retryReserve
	}
	missing := need - a.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / a.limit.RequestsPerSecond
	if seconds > math.MaxInt64/float64(time.Second)/2 {
		return math.MaxInt64 / 2
	}
	// Rounded up: a delay of 0 would mean that the request is allowed.
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// RequestInterval returns the time between two requests at the allowed rate.
func (a *Account) RequestInterval() time.Duration {
	if a.limiter == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / max(a.limit.RequestsPerSecond, 1e-6))
}

// Take counts a request. Call it when Full is false and Delay is 0.
func (a *Account) Take(now time.Time) {
	if a.limiter != nil {
		a.limiter.AllowN(now, 1)
	}
	a.inFlight++
}

// Release ends a request that Take counted.
func (a *Account) Release() { a.inFlight-- }
