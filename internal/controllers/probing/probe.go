package probing

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// result is the result of one probe.
type result struct {
	id ident.Instance
	// incarnation is the one that was probed.
	incarnation ident.Incarnation
	report      upstream.Report
	// asOf is when report was true.
	asOf   time.Time
	err    error
	events []upstream.CacheEvent
	// eventsErr is the error of the pull of cache events.
	eventsErr error
}

// probe probes one upstream. after is the sequence number of the last cache
// event that is already known.
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

// checkIdentity returns an error if a report comes from another instance or an
// earlier incarnation. It fills in the instance's ID and incarnation if the
// report has none.
//
// Without the check, if an instance ends and the platform gives its address to
// a new one, the answers of the new one would keep the old one alive, with its
// service and price, until the list, which lags, shows the change.
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
