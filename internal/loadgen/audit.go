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
	// silent counts those that did not answer, because their instances ended
	// for example. What they executed is missing in count.
	silent int
}

// readExecutions asks every plain stand-in what it executed.
func readExecutions(ctx context.Context, client *http.Client, addresses []string) executions {
	total := executions{count: make(map[string]uint32)}
	for _, address := range addresses {
		admin := standinv1connect.NewPlainAdminServiceClient(client, "http://"+address)
		response, err := admin.GetEffects(ctx, &standinv1.GetEffectsRequest{})
		if err != nil {
			total.silent++
			continue
		}
		for _, effect := range response.GetEffects() {
			total.count[effect.GetKey()] += effect.GetCount()
		}
	}
	return total
}

// audit returns what a booking's caller could not see, or nil: that it was
// executed twice, confirmed without being executed, or refused although it was
// executed. A booking that is not counted may have been executed where nobody
// answers.
func (e executions) audit(key string, told Verdict) *finding {
	count := e.count[key]
	switch {
	case count > 1:
		return findingf(Doubled, "executed %d times", count)
	case told == Whole && count == 0 && e.silent == 0:
		return findingf(Lost, "confirmed but not executed")
	case told == Refused && count > 0:
		return findingf(Wrong, "refused as not run but executed")
	}
	return nil
}

// String says what an audit is worth.
func (e executions) String() string {
	if e.silent == 0 {
		return "bookings compared with their executions"
	}
	return fmt.Sprintf("partial, %d plain stand-ins could not be asked for their executions", e.silent)
}
