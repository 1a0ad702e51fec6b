package entry

import "time"

// firstStartWait is for how long after a first start a gateway leaves it to the first in line
// to read the store. What goes wrong if each reads it for itself: a thousand gateways make
// some thousand calls each for the configuration, the upstreams and the lease at the same
// moment, though none of them is asked for anything yet.
const firstStartWait = 2 * time.Second

// leavesStore reports whether this gateway leaves the first reading of the store to others.
// Where the system has run before, callers wait, and each reads for itself at once.
func (p *Process) leavesStore() bool {
	return p.settings.Peers.FirstStart && p.place() >= readers && p.now().Sub(p.started) < firstStartWait
}
