package membership

import "expvar"

// Counters of this process. Bytes are those of the encoded messages, without
// the transport's headers.
var (
	exchangesSent    = expvar.NewInt("goldcrestspool.membership.exchanges_sent")
	exchangesFailed  = expvar.NewInt("goldcrestspool.membership.exchanges_failed")
	exchangesServed  = expvar.NewInt("goldcrestspool.membership.exchanges_served")
	bytesSent        = expvar.NewInt("goldcrestspool.membership.bytes_sent")
	bytesReceived    = expvar.NewInt("goldcrestspool.membership.bytes_received")
	departuresSeen   = expvar.NewInt("goldcrestspool.membership.departures_seen")
	fullDigestsAsked = expvar.NewInt("goldcrestspool.membership.full_digests_asked")
)
