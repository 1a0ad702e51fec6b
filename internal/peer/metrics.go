package peer

import "expvar"

var connectionsCondemned = expvar.NewInt("goldcrestspool.peer.connections_condemned")
