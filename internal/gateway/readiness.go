package gateway

import (
	"cmp"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// warmUp is how long a new gateway waits until it knows an upstream of each service and
// has read the journal. After that it is ready without them and serves what it can: in
// a failure domain that is cut off, they may never become known.
const warmUp = 10 * time.Second

// readiness tells whether a gateway should get callers.
type readiness struct {
	board     *blackboard.Board
	startedAt time.Time
}

// check reports whether the gateway should get callers, and if not, why.
func (r *readiness) check(now time.Time) (bool, string) {
	if r.board.Stopping.Value() {
		return false, "stopping"
	}
	if health := r.board.Configuration.Value(); !health.Ready {
		return false, "configuration: " + cmp.Or(health.Problem, "not read yet")
	}
	if now.Sub(r.startedAt) > warmUp {
		return true, ""
	}
	if service, missing := r.serviceWithoutUpstream(); missing {
		return false, "upstreams: none known yet of service " + string(service)
	}
	journal := r.board.Journal.Value()
	if !journal.Ready {
		return false, "journal: not read yet"
	}
	return true, ""
}

// serviceWithoutUpstream returns a service that has no known upstream, if any.
func (r *readiness) serviceWithoutUpstream() (ident.Service, bool) {
	upstreams := r.board.Upstreams.Value()
	for service := range r.board.Documents.Value().Services {
		if len(upstreams.ByService[service]) == 0 {
			return service, true
		}
	}
	return "", false
}
