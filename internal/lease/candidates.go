package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// CandidateCount is how many processes are candidates for a lease. The others
// neither read nor append, so the load on the log does not grow with their number.
const CandidateCount = 3

// RankOf returns an instance's rank among the candidates for a lease, from 0, or
// false if it is no candidate. The list of instances lags, so two processes may
// get different results for a while. That can delay a claim, but never lets two
// processes hold a lease at once.
//
// The candidates depend on the failure domain alone, so that few processes read
// the stream. The service rotates their ranks, so that they share the work. A
// failure domain without a live entry instance gets candidates from other failure
// domains.
func RankOf(self ident.Instance, name Name, instances []platform.Instance) (int, bool) {
	candidates := chooseCandidates(name.FailureDomain, instances)
	place := slices.Index(candidates, self)
	if place < 0 {
		return 0, false
	}
	turn := int(xxhash.Sum64String(string(name.Service)) % uint64(len(candidates)))
	return (place + turn) % len(candidates), true
}

// chooseCandidates returns the candidates of a failure domain by rendezvous
// hashing, with instances of that domain first. For the empty failure domain it
// takes each candidate from a different domain, as far as there are enough, so
// that candidates are left if one domain fails.
func chooseCandidates(domain ident.FailureDomain, instances []platform.Instance) []ident.Instance {
	entries := liveEntryInstances(instances)
	slices.SortFunc(entries, func(a, b platform.Instance) int {
		return cmp.Or(
			cmp.Compare(domainDistance(domain, a), domainDistance(domain, b)),
			cmp.Compare(rendezvousWeight(domain, b.ID), rendezvousWeight(domain, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if domain == "" {
		entries = oneOfEachDomainFirst(entries)
	}
	entries = entries[:min(len(entries), CandidateCount)]
	ids := make([]ident.Instance, len(entries))
	for i, entry := range entries {
		ids[i] = entry.ID
	}
	return ids
}

func liveEntryInstances(instances []platform.Instance) []platform.Instance {
	var entries []platform.Instance
	for _, instance := range instances {
		if instance.Role == platform.RoleEntry && instance.State == platform.Live {
			entries = append(entries, instance)
		}
	}
	return entries
}

// domainDistance returns 0 for an instance in the failure domain and 1 for others.
func domainDistance(domain ident.FailureDomain, instance platform.Instance) int {
	if instance.FailureDomain == domain {
		return 0
	}
	return 1
}

func rendezvousWeight(domain ident.FailureDomain, id ident.Instance) uint64 {
	return xxhash.Sum64String(string(domain) + "/" + string(id))
}

// oneOfEachDomainFirst moves the first instance of each failure domain to the
// front and keeps the order otherwise.
func oneOfEachDomainFirst(entries []platform.Instance) []platform.Instance {
	seen := make(map[ident.FailureDomain]bool)
	var first, rest []platform.Instance
	for _, entry := range entries {
		if seen[entry.FailureDomain] {
			rest = append(rest, entry)
			continue
		}
		seen[entry.FailureDomain] = true
		first = append(first, entry)
	}
	return append(first, rest...)
}
