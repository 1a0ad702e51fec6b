package fleet

import "expvar"

// Counters of this process. Starts and stops count the requests to the cloud,
// including those that failed.
var (
	starts                   = expvar.NewInt("goldcrestspool.fleet.starts")
	startsFailed             = expvar.NewInt("goldcrestspool.fleet.starts_failed")
	drains                   = expvar.NewInt("goldcrestspool.fleet.drains")
	stops                    = expvar.NewInt("goldcrestspool.fleet.stops")
	roundsWithoutList        = expvar.NewInt("goldcrestspool.fleet.rounds_without_list")
	actionsWithheldLeaseLost = expvar.NewInt("goldcrestspool.fleet.withheld_lease_lost")
)
