package probing

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// result is the end of one probe.
type result struct {
	id ident.Instance
	// incarnation is the life that was probed.
	incarnation ident.Incarnation
	report      upstream.Report
	// asOf is when the figures were true.
	asOf   time.Time
	err    error
	events []upstream.CacheEvent
	// eventsErr is nil when events is the answer of a pull.
	eventsErr error
}

// probe asks one upstream. after is the last cache event already known.
func (c *Controller) probe(ctx context.Context, instance platform.Instance, after uint64) result {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	r := result{id: instance.ID, incarnation: instance.Incarnation}
	if instance.Role == platform.RolePlain {
		r.report, r.err = c.plainReport(ctx, instance)
	} else {
		r.report, r.err = c.deps.Dialer.Engine(instance.Address).Report(ctx)
	}
	r.asOf = time.Now().Add(-r.report.Age)
	if r.err == nil {
		r.err = checkIdentity(instance, &r.report)
	}
	if r.err == nil && instance.Role == platform.RoleEngine && c.deps.Cache != nil {
		r.events, r.eventsErr = c.deps.Dialer.Engine(instance.Address).CacheEvents(ctx, after)
	}
	return r
}

func (c *Controller) plainReport(ctx context.Context, instance platform.Instance) (upstream.Report, error) {
	health, err := c.deps.Dialer.Plain(instance.Address).Health(ctx)
	return upstream.Report{
		Instance:    health.Instance,
		Incarnation: health.Incarnation,
		Leaving:     health.Leaving,
		Running:     health.Running,
	}, err
}

// checkIdentity fails when the answer is another instance's.
//
// What goes wrong without: an instance ends, the platform gives its address to
// a new one, and until the lagging list says so the new one's answers keep the
// old one alive, with the old one's service and price.
func checkIdentity(instance platform.Instance, report *upstream.Report) error {
	if report.Instance == "" {
		report.Instance = instance.ID
	}
	if report.Incarnation == 0 {
		report.Incarnation = instance.Incarnation
	}
	if report.Instance != instance.ID {
		return errcode.Errorf(errcode.FailedPrecondition, "%s answers at the address of %s", report.Instance, instance.ID)
	}
	if report.Incarnation < instance.Incarnation {
		return errcode.Errorf(errcode.FailedPrecondition, "incarnation %d of %s answers, %d is known",
			report.Incarnation, instance.ID, instance.Incarnation)
	}
	return nil
}
