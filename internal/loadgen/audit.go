package loadgen

import (
	"context"
	"fmt"
	"net/http"

	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
)

// executions are what the plain stand-ins executed.
type executions struct {
	// count is by key, over all plain stand-ins that answered.
	count map[string]uint32
	// unreachable counts those that did not answer, because their instances ended
	// for example. What they executed is missing in count.
	unreachable int
}

// readExecutions asks every plain stand-in what it executed.
func readExecutions(ctx context.Context, client *http.Client, addresses []string) executions {
	total := executions{count: make(map[string]uint32)}
	for _, address := range addresses {
		admin := standinv1connect.NewPlainAdminServiceClient(client, "http://"+address)
		response, err := admin.GetEffects(ctx, &standinv1.GetEffectsRequest{})
		if err != nil {
			total.unreachable++
			continue
		}
		for _, effect := range response.GetEffects() {
			total.count[effect.GetKey()] += effect.GetCount()
		}
	}
	return total
}

// auditBooking returns what a booking's caller could not see, or nil: that it was
// executed twice, confirmed without being executed, or refused although it was
// executed. A booking that is not counted may have been executed where nobody
// answers.
func (e executions) auditBooking(key string, told Verdict) *assessment {
	count := e.count[key]
	switch {
	case count > 1:
		return assessmentf(Doubled, "executed %d times", count)
	case told == Whole && count == 0 && e.unreachable == 0:
		return assessmentf(Lost, "confirmed but not executed")
	case told == Refused && count > 0:
		return assessmentf(Wrong, "refused as not run but executed")
	}
	return nil
}

// String says what an audit is worth.
func (e executions) String() string {
	if e.unreachable == 0 {
		return "bookings compared with their executions"
	}
	return fmt.Sprintf("partial, %d plain stand-ins could not be asked for their executions", e.unreachable)
}
