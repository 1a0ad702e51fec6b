package membership

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
)

// target is a peer to exchange with.
type target struct {
	// id is empty for a seed, whose instance is not known yet.
	id      ident.Instance
	domain  ident.FailureDomain
	address string
}

// peersByDomain returns the peers that serve exchanges, by failure domain and
// in the order of their IDs. Leaving ones are among them, since they still have
// work to route; suspect ones too, for only an answer clears them.
func peersByDomain(table *membership.Table, self ident.Instance) map[ident.FailureDomain][]target {
	out := map[ident.FailureDomain][]target{}
	for e := range table.All {
		if !isPeer(e, self) {
			continue
		}
		out[e.FailureDomain] = append(out[e.FailureDomain], target{id: e.ID, domain: e.FailureDomain, address: e.PeerAddress})
	}
	for _, peers := range out {
		slices.SortFunc(peers, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	}
	return out
}

// isPeer reports whether an entry is another process that serves exchanges.
func isPeer(e membership.Entry, self ident.Instance) bool {
	return e.PeerAddress != "" && e.State != blackboard.Gone && e.ID != self
}

// chooseTargets returns whom to send the heartbeat number turn. start is a
// number of this process, so that not all choose the same peers in one turn.
func chooseTargets(peers map[ident.FailureDomain][]target, config Config, start, turn int) []target {
	own := config.Self.FailureDomain
	local := peers[own]
	fanout := len(local)
	if fanout > config.LocalAll {
		fanout = config.LocalFanout
	}
	chosen := take(local, start+turn*fanout, fanout)
	var remote []target
	domains := otherDomains(peers, own)
	for _, domain := range domains {
		remote = append(remote, take(peers[domain], start+turn*config.RemotePerDomain, config.RemotePerDomain)...)
	}
	return append(chosen, take(remote, start+turn*config.RemoteFanout, config.RemoteFanout)...)
}

func otherDomains(peers map[ident.FailureDomain][]target, own ident.FailureDomain) []ident.FailureDomain {
	var domains []ident.FailureDomain
	for domain := range peers {
		if domain != own {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// take returns up to count elements from position start on, around the end.
func take(from []target, start, count int) []target {
	if len(from) == 0 {
		return nil
	}
	count = min(count, len(from))
	out := make([]target, 0, count)
	for i := range count {
		out = append(out, from[(start+i)%len(from)])
	}
	return out
}
