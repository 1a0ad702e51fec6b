package peer

import "expvar"

var connectionsReplaced = expvar.NewInt("goldcrestspool.peer.connections_condemned")
