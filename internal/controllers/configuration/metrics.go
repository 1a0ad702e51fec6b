package configuration

import "expvar"

// metrics holds this package's expvar variables; docs/OPERATORS.md describes
// their units and meaning.
var metrics = struct {
	revision, reads, readFailures, accepted, refused, unreadable,
	merges, mergeFailures, snapshots *expvar.Int
}{
	revision:      newInt("revision"),
	reads:         newInt("reads"),
	readFailures:  newInt("read_failures"),
	accepted:      newInt("accepted_records"),
	refused:       newInt("refused_records"),
	unreadable:    newInt("unreadable_records"),
	merges:        newInt("peer_merges"),
	mergeFailures: newInt("peer_merge_failures"),
	snapshots:     newInt("snapshots_written"),
}

func newInt(name string) *expvar.Int { return expvar.NewInt("goldcrestspool.configuration." + name) }
