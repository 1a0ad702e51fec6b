package loadgen

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
)

// effects counts executions by key, over all plain stand-ins.
type effects map[string]uint32

// readEffects asks every plain stand-in what it executed.
func readEffects(ctx context.Context, client *http.Client, addresses []string) (effects, error) {
	total := make(effects)
	for _, address := range addresses {
		admin := standinv1connect.NewPlainAdminServiceClient(client, "http://"+address)
		response, err := admin.GetEffects(ctx, &standinv1.GetEffectsRequest{})
		if err != nil {
			return nil, errors.WithMessage(errors.WithStack(err), "effects of "+address)
		}
		for _, effect := range response.GetEffects() {
			total[effect.GetKey()] += effect.GetCount()
		}
	}
	return total, nil
}

// audit returns what a booking's caller could not see, or nil: that it was
// executed twice, confirmed without being executed, or refused although it was
// executed.
func audit(told Verdict, count uint32) *finding {
	switch {
	case count > 1:
		return findingf(Doubled, "executed %d times", count)
	case told == Whole && count == 0:
		return findingf(Lost, "confirmed but not executed")
	case told == Refused && count > 0:
		return findingf(Wrong, "refused as not run but executed")
	}
	return nil
}
