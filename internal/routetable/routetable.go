// Package routetable is the operators' configuration as the product uses it:
// which request goes to which service, which client account may send it, and
// how much. A Table is immutable and is swapped whole.
package routetable

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = 1
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = 2
	// Streaming answers are events with increasing IDs. They run at most once
	// unless the route is resumable.
	Streaming Kind = 3
)

// String is the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to an answer, or to a stream's first event.
	Objective time.Duration
	// GapObjective is the longest pause between two events; 0 for others.
	GapObjective time.Duration
	// Priority is the request's rank, 0 first.
	Priority int
	// Attempts is how many upstreams may run one request.
	Attempts int
	// Public routes ask for no key.
	Public  bool
	Targets []Target
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Target is one of the services that share a route's requests.
type Target struct {
	Service ident.Service
	// Weight is the target's part of the sum of all weights.
	Weight int
}

// Pick returns the service of a request. The same request gets the same one at
// every gateway: the share follows from the request's ID, not from a counter.
func (r *Route) Pick(id ident.Request) ident.Service {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum == 0 || len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	at := int(xxhash.Sum64String(string(id)) % uint64(sum))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

// Service is a set of upstreams with the same job.
type Service struct {
	Name ident.Service
	// MaxConnections is how many connections one upstream accepts from all
	// gateways together.
	MaxConnections int
	// Engine is nil for a plain application.
	Engine *Engine
	// Scale is nil where the number of upstreams is not ours to choose.
	Scale *Scale
}

// Engine is what a service of model engines can do.
type Engine struct {
	// Slots is how many requests one engine works on at a time.
	Slots int
}

// Scale bounds and prices the upstreams of a service.
type Scale struct {
	// Least and Most bound the upstreams of one failure domain, of both
	// kinds together.
	Least, Most int
	// Startup is how long a new upstream takes until it serves.
	Startup time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to
	// another one; 0 where there are none.
	ReclaimablePrice float64
	// Prices of an upstream's second, by failure domain.
	Prices map[ident.FailureDomain]float64
}

// Account is a client account.
type Account struct {
	Name ident.ClientAccount
	Keys []string
	// Priority takes the place of the route's where it is set.
	Priority *int
	// Rate a second and Burst limit the account over all gateways, in tokens or
	// in requests; no limit where Rate is 0.
	Rate, Burst float64
	// CountsTokens: a request counts the tokens that it declares, and
	// DefaultTokens if it declares none. Otherwise it counts 1.
	CountsTokens  bool
	DefaultTokens float64
}

// Cost is what a request counts against the account's limit.
func (a *Account) Cost(declared bool, tokens int) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case declared:
		return float64(tokens)
	}
	return a.DefaultTokens
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTime    time.Duration
}

// Spec is everything a Table is made from.
type Spec struct {
	Revision ident.Revision
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table answers which route and which account a request belongs to.
type Table struct {
	spec     Spec
	hosts    map[string][]*Route
	services map[ident.Service]*Service
	keys     map[string]*Account
}

// New returns the table of a spec that was checked.
func New(spec Spec) *Table {
	t := &Table{
		spec:     spec,
		hosts:    make(map[string][]*Route),
		services: make(map[ident.Service]*Service, len(spec.Services)),
		keys:     make(map[string]*Account),
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Accounts {
		a := &spec.Accounts[i]
		for _, key := range a.Keys {
			t.keys[key] = a
		}
	}
	return t
}

// Revision is the version of the configuration.
func (t *Table) Revision() ident.Revision { return t.spec.Revision }

// Limits bound what a caller may send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Route returns the route with the longest prefix that begins the path, or nil.
// The path is compared byte for byte, as the upstream will see it.
func (t *Table) Route(host, path string) *Route {
	var best *Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Service returns a service, or nil.
func (t *Table) Service(name ident.Service) *Service { return t.services[name] }

// Services returns all services. They must not be changed.
func (t *Table) Services() []Service { return t.spec.Services }

// Accounts returns all client accounts. They must not be changed.
func (t *Table) Accounts() []Account { return t.spec.Accounts }

// AccountByKey returns the account that holds a key, or nil.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }

// NeedsKeys reports whether requests of routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.spec.Accounts) > 0 }
