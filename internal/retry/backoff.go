package retry

import (
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Backoff is the pause before an extra attempt.
type Backoff struct {
	// Base is the longest pause before the second attempt. It doubles with each further attempt, up
	// to Max.
	Base, Max time.Duration
}

// DefaultBackoff suits upstreams that are a millisecond away.
var DefaultBackoff = Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// Delay returns the pause after the given attempt, counted from 1, has failed. It lies between half
// the doubled base and the whole. The request's ID and the attempt determine it, so that requests
// that failed together are not retried together.
func (b Backoff) Delay(attempt int, id ident.Request) time.Duration {
	longest := b.Max
	if shift := max(attempt-1, 0); shift < 30 && b.Base<<shift < b.Max {
		longest = b.Base << shift
	}
	jitter := retryafter.Fraction(id + ident.Request("/"+strconv.Itoa(attempt)))
	return longest/2 + time.Duration(float64(longest/2)*jitter)
}
