package entry

import (
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// logUnknownService logs an upstream that no route can reach, because its service is not
// in the configuration.
func (u *upstreamsFollower) logUnknownService(key string, entry *directory.Upstream) {
	table := u.board.table.Value()
	if table == nil {
		return
	}
	if table.Service(entry.Service) != nil {
		u.loggedUnknownService.reset(key)
	} else if u.loggedUnknownService.firstTime(key) {
		u.log.Warn("upstream's service is not in the configuration", "upstream", entry.ID, "service", entry.Service)
	}
}

// maxLinesPerBatch is how many changes that arrive together are logged one by one at most.
// Without a bound, where thousands of upstreams start or are replaced, each of a thousand
// gateways would log all of them, and would do little else.
const maxLinesPerBatch = 16

// logBatch logs changes that arrived together: each in its own line, or, if there are many,
// in one line with their number and some of the upstreams that leave or were removed. Each
// record that a gateway reads from the store after the first listing is in that gateway's log.
func (u *upstreamsFollower) logBatch(changes []directory.Record, from string) {
	if len(changes) <= maxLinesPerBatch {
		for _, r := range changes {
			u.logEntry(r.Name, r.At, r.Upstream, from)
		}
		return
	}
	var leaving, dropped []ident.Instance
	first, last := changes[0].At, changes[0].At
	for _, r := range changes {
		last = last.Later(r.At)
		if r.At.Before(first) {
			first = r.At
		}
		switch {
		case r.Upstream == nil:
			dropped = append(dropped, r.Name)
		case r.Upstream.State == directory.Leaving:
			leaving = append(leaving, r.Name)
		}
	}
	u.log.Info("upstream entries changed", "changes", len(changes), "first", first, "last", last, "leaving", len(leaving), "dropped", len(dropped),
		"some_leaving", leaving[:min(len(leaving), maxLinesPerBatch)], "some_dropped", dropped[:min(len(dropped), maxLinesPerBatch)], "from", from)
}

// logEntry logs a changed upstream entry; a nil entry was removed.
func (u *upstreamsFollower) logEntry(id ident.Instance, at ident.Position, entry *directory.Upstream, from string) {
	if entry == nil {
		u.log.Info("upstream entry removed", "upstream", id, "position", at, "from", from)
		return
	}
	u.log.Info("upstream entry changed", "upstream", id, "service", entry.Service, "address", entry.Address, "domain", entry.FailureDomain,
		"software_version", entry.SoftwareVersion, "leaving", entry.State == directory.Leaving, "leaves_ms", entry.LeavesIn.Milliseconds(), "reclaimable", entry.Reclaimable,
		"position", at, "from", from)
}
