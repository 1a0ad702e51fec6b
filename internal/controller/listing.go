package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// The times between two reads of the platform's list.
const (
	// candidateListInterval applies to a process that is a candidate for a
	// lease or that is not in the list yet.
	candidateListInterval = 2 * time.Second
	// watcherListInterval applies to a process that only checks whether it has
	// become a candidate.
	watcherListInterval = 10 * time.Second
)

// runListReader reads the platform's list and passes to the lease manager the
// leases for which this process is a candidate. It is the only writer of
// p.listing.
func (p *Process) runListReader(ctx context.Context) error {
	for {
		p.readList(ctx)
		// The documents are loaded once for the decision and for the wait.
		// Otherwise, if new documents came in between, the wait would be for
		// a change after these, and no lease would be claimed until the pause
		// is over.
		documents := p.documents.Load()
		wanted := p.wantedLeases(documents.Value)
		p.leases.SetWanted(wanted)
		select {
		case <-time.After(p.listInterval(wanted)):
		case <-documents.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listInterval returns the time until the next read of the list.
//
// A process whose own instance is not listed yet reads the list as often as a
// candidate. The list lags, so a process that starts together with its instance
// reads it before the instance is there. If it then paused as long as a
// watcher, a system that has just started would have no controller for that
// time.
func (p *Process) listInterval(wanted []lease.Wanted) time.Duration {
	self := p.settings.Instance.ID
	listed := slices.ContainsFunc(p.listing.Value().Instances, func(i platform.Instance) bool { return i.ID == self })
	if len(wanted) > 0 || !listed {
		return candidateListInterval
	}
	return watcherListInterval
}

func (p *Process) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Platform.Timeout)
	defer cancel()
	began := time.Now()
	list, err := p.platform.List(ctx)
	if err != nil {
		p.log.Debug("cannot read the instance list", "error", err)
		return
	}
	p.listing.Publish(blackboard.Listing{Instances: list, ReadAt: began})
}

// wantedLeases returns the leases that this process wants: those for which it
// is a candidate, and those that it holds. It keeps a lease that it holds when
// the list changes, so that a list that lags moves no lease.
func (p *Process) wantedLeases(documents *document.Set) []lease.Wanted {
	instances := p.listing.Value().Instances
	held := make(map[lease.Name]bool)
	for _, name := range p.leases.Held() {
		held[name] = true
	}
	var wanted []lease.Wanted
	for _, name := range leaseNames(documents, instances) {
		rank, candidate := lease.RankOf(p.settings.Instance.ID, name, instances)
		if candidate || held[name] {
			wanted = append(wanted, lease.Wanted{Name: name, Rank: rank})
		}
	}
	return wanted
}

// leaseNames returns the names of all leases: one for each service's fleet, and
// for each model service one for each failure domain that has live engines.
func leaseNames(set *document.Set, instances []platform.Instance) []lease.Name {
	var names []lease.Name
	for _, service := range slices.Sorted(maps.Keys(set.Services)) {
		names = append(names, lease.Name{Service: service})
		if set.Services[service].Document.Kind != document.Model {
			continue
		}
		for _, domain := range engineDomains(service, instances) {
			names = append(names, lease.Name{Service: service, FailureDomain: domain})
		}
	}
	return names
}

func engineDomains(service ident.Service, instances []platform.Instance) []ident.FailureDomain {
	domains := make(map[ident.FailureDomain]bool)
	for _, instance := range instances {
		if instance.Service == service && instance.Role == platform.RoleEngine && instance.State == platform.Live {
			domains[instance.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}
