package probing

import "expvar"

var probesFailed = expvar.NewInt("goldcrestspool.probing.probes_failed")
