package orders

import "expvar"

// Counters of this process.
var (
	ordersApplied           = expvar.NewInt("goldcrestspool.orders.applied")
	ordersRefused           = expvar.NewInt("goldcrestspool.orders.refused_old_fence")
	ordersFailed            = expvar.NewInt("goldcrestspool.orders.failed")
	ordersWithheldLeaseLost = expvar.NewInt("goldcrestspool.orders.withheld_lease_lost")
	reservationsRefused     = expvar.NewInt("goldcrestspool.orders.reservations_refused")
)
