package entry

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/metering"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/scaling"
)

const (
	// dutyStep is how often the holder looks what is due.
	dutyStep = 250 * time.Millisecond
	// notCandidate is the rank of a gateway that must not take the lease.
	notCandidate = 1 << 20
)

// runDuties starts what one gateway at a time does under the lease.
func (p *Process) runDuties(run func(func(context.Context))) {
	if p.ports.Duties == nil {
		return
	}
	run(p.lease.Run)
	if slices.Contains(p.settings.Cloud.Duties, "metering") {
		run(p.every(p.newReporter().Step))
	}
	if slices.Contains(p.settings.Cloud.Duties, "autoscale") {
		run(p.every(p.newScaling().Step))
	}
}

// every runs a step again and again until ctx ends.
func (p *Process) every(step func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for pause(ctx, dutyStep) {
			if !p.leaving.Load() {
				step(ctx)
			}
		}
	}
}

func (p *Process) newLease() *duty.Manager {
	return duty.NewManager(duty.Config{
		Self: p.settings.Instance.ID, Life: p.incarnation, Timing: duty.NewTiming(p.settings.Lease.Length, platform.DutyTimeout),
		Store: p.ports.Store, Now: p.now, Log: p.log.Named("lease"), Rank: p.rank,
	})
}

// rank is this gateway's place among those that could take the lease, and
// whether another one says that it holds it.
func (p *Process) rank() (int, bool) {
	if p.leaving.Load() {
		return notCandidate, true
	}
	rank := 0
	v := p.view.Load()
	for i := range v.Fresh {
		r := &v.Fresh[i].Report
		if r.Holds {
			return notCandidate, true
		}
		if !r.Leaving && r.Node < p.settings.Instance.ID {
			rank++
		}
	}
	return rank, false
}

func (p *Process) newReporter() *metering.Reporter {
	return &metering.Reporter{
		Length: p.settings.Usage.Window, TrueTime: p.trueTime, Ledger: p.ledger, Leases: p.lease,
		Duties: p.ports.Duties, Log: p.log.Named("metering"),
	}
}

func (p *Process) newScaling() *scaling.Controller {
	return &scaling.Controller{
		Now: p.now, Table: p.table, View: p.board.upstreams.Value, Need: p.need, Leases: p.lease,
		Duties: p.ports.Duties, Log: p.log.Named("scaling"),
	}
}

// The share of an engine's capacity that its work should take. Half of its
// reading leaves first events within a tenth of a second; half of its slots leave
// room for a burst of 1.7 times the usual.
const (
	busyReading = 0.5
	busySlots   = 0.5
)

// need is how many upstreams the present work of all gateways keeps busy.
func (p *Process) need(s *routetable.Service) float64 {
	if s.Engine == nil {
		return 1
	}
	prompt, running := p.chooser.Work(s.Name, p.now())
	v := p.view.Load()
	for i := range v.Fresh {
		w := v.Fresh[i].Report.Work[s.Name]
		prompt += w.Prompt
		running += w.Running
	}
	byReading := prompt / (p.chooser.Params().PrefillRate * busyReading)
	bySlots := running / (float64(max(1, s.Engine.Slots)) * busySlots)
	return max(byReading, bySlots)
}

// work is what this gateway asks of each service, for its report.
func (p *Process) work(now time.Time) map[ident.Service]gossip.Work {
	table := p.table()
	if table == nil {
		return nil
	}
	out := make(map[ident.Service]gossip.Work)
	for i := range table.Services() {
		if s := &table.Services()[i]; s.Scale != nil {
			prompt, running := p.chooser.Work(s.Name, now)
			out[s.Name] = gossip.Work{Prompt: prompt, Running: running}
		}
	}
	return out
}
