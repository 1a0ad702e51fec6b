package loadgen

import (
	"context"
	"fmt"
	"net/http"

	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
)

// executions counts what the plain stand-ins executed.
type executions struct {
	// count is the number of executions by call key, over all plain stand-ins
	// that answered.
	count map[string]uint32
	// unreachable is the number of plain stand-ins that did not answer, for
	// example because their instances ended. Their executions are missing in
	// count.
	unreachable int
}

// readExecutions queries every plain stand-in for its executions.
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

// auditBooking returns an assessment if a booking was executed twice, confirmed
// without being executed, or refused although it was executed, which its caller
// cannot see; else nil. verdict is the caller's. While plain stand-ins are
// unreachable, a booking without executions may have been executed there.
func (e executions) auditBooking(key string, verdict Verdict) *assessment {
	count := e.count[key]
	switch {
	case count > 1:
		return assessmentf(Doubled, "executed %d times", count)
	case verdict == Whole && count == 0 && e.unreachable == 0:
		return assessmentf(Lost, "confirmed but not executed")
	case verdict == Refused && count > 0:
		return assessmentf(Wrong, "refused as not run but executed")
	}
	return nil
}

// String describes how complete an audit with these executions is.
func (e executions) String() string {
	if e.unreachable == 0 {
		return "bookings compared with their executions"
	}
	return fmt.Sprintf("partial, %d plain stand-ins could not be asked for their executions", e.unreachable)
}
