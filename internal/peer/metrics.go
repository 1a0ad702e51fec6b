package peer

import "expvar"

// connectionsReplaced counts the connections that were replaced after calls on them
// ran into their deadlines.
var connectionsReplaced = expvar.NewInt("goldcrestspool.peer.connections_condemned")
