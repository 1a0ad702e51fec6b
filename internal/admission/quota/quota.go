// Package quota enforces the limits of one client account at one gateway.
//
// The limits that a document states hold for the whole system, but gateways
// don't coordinate their decisions. Each enforces an equal part of every limit;
// Divide computes the parts and states the error. The package is pure: time is
// passed in.
package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
)

// retryReserveShare is the part of a burst that only retries may use.
const retryReserveShare = 0.25

// Divide returns one gateway's part of a limit that is divided among the given
// number of live gateways.
//
// The error is as follows if there are g gateways, each of them counts between l
// and h live gateways, and a load balancer spreads requests evenly:
//   - The requests per second of all gateways together are at most limit*g/l
//     and at least limit*g/h.
//   - Burst and requests in flight are rounded up to at least 1, so their sums
//     are below (limit+h)*g/l. If there are more gateways than the limit, each
//     admits one request.
//   - An account whose connections all end at one gateway gets that gateway's
//     part alone.
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

// Account tracks one client account's use of one gateway against its limit. It
// is not safe for concurrent use.
type Account struct {
	limit document.AccountLimit
	// limiter is nil if the rate isn't limited.
	limiter *rate.Limiter
	// retryReserve is how many tokens of the burst only retries may use.
	retryReserve float64
	inFlight     int
}

// NewAccount returns an account without requests.
func NewAccount(limit document.AccountLimit, now time.Time) *Account {
	a := &Account{}
	a.applyLimit(limit, now)
	return a
}

// SetLimit applies a changed limit. Requests in flight stay counted.
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
		// A burst of 1 leaves nothing to reserve: first attempts would take
		// each token as it appears, and no retry-after time would hold. So
		// retries get one more token, and the limit is exceeded by 1.
		burst = 2
	}
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(limit.RequestsPerSecond), burst)
		return
	}
	a.limiter.SetLimitAt(now, rate.Limit(limit.RequestsPerSecond))
	a.limiter.SetBurstAt(now, burst)
}

// Limit returns the limit in effect.
func (a *Account) Limit() document.AccountLimit { return a.limit }

// InFlight returns the number of requests that were taken and not released.
func (a *Account) InFlight() int { return a.inFlight }

// AtMaxInFlight reports whether the limit of requests in flight is reached.
func (a *Account) AtMaxInFlight() bool {
	return a.limit.MaxInFlight > 0 && a.inFlight >= a.limit.MaxInFlight
}

// Delay returns how long it takes until the rate limit allows a request; 0 means
// that it is allowed now. A first attempt is allowed only if the tokens reserved
// for retries remain.
func (a *Account) Delay(now time.Time, retry bool) time.Duration {
	if a.limiter == nil {
		return 0
	}
	needed := 1.0
	if !retry {
		needed += a.retryReserve
	}
	missing := needed - a.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / a.limit.RequestsPerSecond
	if seconds > math.MaxInt64/float64(time.Second)/2 {
		return math.MaxInt64 / 2
	}
	// Rounded up, since a delay of 0 would mean that the request is allowed.
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// RequestInterval returns the time between two requests at the limit's rate; 0
// if the rate isn't limited.
func (a *Account) RequestInterval() time.Duration {
	if a.limiter == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / max(a.limit.RequestsPerSecond, 1e-6))
}

// Take counts a request. Call it only if AtMaxInFlight returns false and Delay
// returns 0.
func (a *Account) Take(now time.Time) {
	if a.limiter != nil {
		a.limiter.AllowN(now, 1)
	}
	a.inFlight++
}

// Release ends a request that was counted by Take.
func (a *Account) Release() { a.inFlight-- }
