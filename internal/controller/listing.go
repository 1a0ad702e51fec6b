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

// The times between two reads of the platform's list: for a candidate, and one
// that is not in the list yet; and for a process that only watches whether it
// has become a candidate.
const (
	candidateListing = 2 * time.Second
	watcherListing   = 10 * time.Second
)

// runListing reads the platform's list and tells the lease manager which
// leases this process is a candidate for. It is the one writer of p.listing.
func (p *Process) runListing(ctx context.Context) error {
	for {
		p.readList(ctx)
		// Loaded once: what goes wrong otherwise is that documents come between
		// the decision and the wait, which then waits for the ones after them,
		// and no lease is claimed until the pause is over.
		documents := p.documents.Load()
		wanted := p.candidacies(documents.Value)
		p.leases.Want(wanted)
		select {
		case <-time.After(p.listingPause(wanted)):
		case <-documents.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listingPause returns the time until the next read of the list.
//
// What goes wrong without the look at the own instance: the list lags, so a
// process that starts with its instance reads it before that one is there, and
// takes itself for a watcher. In a system that starts, nobody then controls
// anything for as long as a watcher waits.
func (p *Process) listingPause(wanted []lease.Wanted) time.Duration {
	self := p.settings.Instance.ID
	listed := slices.ContainsFunc(p.listing.Value().Instances, func(i platform.Instance) bool { return i.ID == self })
	if len(wanted) > 0 || !listed {
		return candidateListing
	}
	return watcherListing
}

func (p *Process) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Platform.Timeout)
	defer cancel()
	began := time.Now()
	list, err := p.platform.List(ctx)
	if err != nil {
		p.log.Debug("instance list not read", "error", err)
		return
	}
	p.listing.Publish(blackboard.Listing{Instances: list, ReadAt: began})
}

// candidacies returns the leases that this process wants: those for which it
// is a candidate, and those that it holds. A holder stays one when the list
// changes, so that the list's lag moves no lease.
func (p *Process) candidacies(documents *document.Set) []lease.Wanted {
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

// leaseNames returns the leases that exist: one over each service's fleet, and
// one for the engines of each failure domain that has any.
func leaseNames(set *document.Set, instances []platform.Instance) []lease.Name {
	var names []lease.Name
	for _, service := range slices.Sorted(maps.Keys(set.Services)) {
		names = append(names, lease.Name{Service: service})
		if set.Services[service].Document.Kind != document.Model {
			continue
		}
		for _, domain := range domainsOf(service, instances) {
			names = append(names, lease.Name{Service: service, FailureDomain: domain})
		}
	}
	return names
}

func domainsOf(service ident.Service, instances []platform.Instance) []ident.FailureDomain {
	domains := make(map[ident.FailureDomain]bool)
	for _, instance := range instances {
		if instance.Service == service && instance.Role == platform.RoleEngine && instance.State == platform.Live {
			domains[instance.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}
