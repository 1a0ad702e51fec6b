// Package routetable holds the operators' configuration in the form that gateways use:
// which request goes to which service, which client account may send it, and how much an
// account may send. A Table is immutable; a new configuration replaces it as a whole.
package routetable

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Kind says whether a route's requests may be repeated, and what their answers are like.
type Kind int

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = 1
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = 2
	// Streaming requests are answered with server-sent events with increasing IDs. They
	// run at most once unless the route is resumable.
	Streaming Kind = 3
)

// String returns the kind's name in logs and metrics.
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

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable: a stream that broke off may be continued by another upstream after the
	// last delivered event.
	Resumable bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event, should be
	// delivered.
	Objective time.Duration
	// GapObjective is the time within which a stream's next event should follow; 0 for
	// routes that don't stream.
	GapObjective time.Duration
	// Priority is the priority of the requests, unless their account has its own; 0 is
	// served first.
	Priority int
	// Attempts is how many upstreams may run one request.
	Attempts int
	// Public: requests need no key.
	Public bool
	// Targets are the services that share the requests. There is at least one.
	Targets []Target
}

// Repeatable reports whether a request that may have run may be sent once more.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Target is one of the services that share a route's requests.
type Target struct {
	Service ident.Service
	// Weight is the target's share of the requests, relative to the sum of all weights.
	Weight int
}

// Pick returns the service of a request. Every gateway returns the same service for the same
// request, because the choice depends on a hash of the request's ID and not on a counter.
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

// Service is a set of interchangeable upstreams.
type Service struct {
	Name ident.Service
	// MaxConnections is how many connections one upstream accepts from all
	// gateways together.
	MaxConnections int
	// Engine describes the model engines; nil for a plain service.
	Engine *Engine
	// Scale is nil if the gateways do not decide on the number of upstreams.
	Scale *Scale
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at a time.
	Slots int
}

// Scale holds the bounds and the prices for the number of a service's upstreams.
type Scale struct {
	// MinPerDomain and MaxPerDomain bound the number of upstreams in each failure domain,
	// reclaimable and other ones together.
	MinPerDomain, MaxPerDomain int
	// Startup is the time from the start of a new upstream until it serves requests.
	Startup time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to
	// one that is not reclaimable; 0 if there are no reclaimable ones.
	ReclaimablePrice float64
	// Prices holds the price of an upstream per second, by failure domain.
	Prices map[ident.FailureDomain]float64
}

// Account is a client account.
type Account struct {
	Name ident.ClientAccount
	// Keys are the keys with which callers authenticate as the account.
	Keys []string
	// Priority replaces the route's priority; nil keeps the route's.
	Priority *int
	// Rate, per second, and Burst limit the account over all gateways together, in tokens
	// or in requests. There is no limit if Rate is 0.
	Rate, Burst float64
	// CountsTokens: a request costs the tokens that it declares, or DefaultTokens if it
	// declares none. Otherwise it costs 1.
	CountsTokens  bool
	DefaultTokens float64
}

// PriorityOf returns the priority of an account's requests on the route; nil is no account.
func (r *Route) PriorityOf(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Cost returns what a request takes from the account's limit. declared says whether the
// request declares its tokens, and tokens how many.
func (a *Account) Cost(declared bool, tokens int) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case declared:
		return float64(tokens)
	}
	return a.DefaultTokens
}

// Limits bound what a caller may send. A limit of 0 is not set.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
}

// Spec is the input of New.
type Spec struct {
	Revision ident.Revision
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table finds the route and the account of a request. It is immutable, and so safe for
// concurrent use.
type Table struct {
	spec     Spec
	hosts    map[string][]*Route
	services map[ident.Service]*Service
	keys     map[string]*Account
}

// New returns the Table of a spec. The spec must be valid, and must not be changed afterwards.
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

// Revision returns the revision of the configuration.
func (t *Table) Revision() ident.Revision { return t.spec.Revision }

// Limits returns the bounds on what a caller may send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Route returns the host's route with the longest prefix of the path, or nil if there is
// none. The path is compared byte for byte, without decoding or cleaning, because that is
// how the upstream gets it.
func (t *Table) Route(host, path string) *Route {
	var best *Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Service returns the service with the name, or nil if there is none.
func (t *Table) Service(name ident.Service) *Service { return t.services[name] }

// Routes returns all routes. They must not be changed.
func (t *Table) Routes() []Route { return t.spec.Routes }

// Services returns all services. They must not be changed.
func (t *Table) Services() []Service { return t.spec.Services }

// Accounts returns all client accounts. They must not be changed.
func (t *Table) Accounts() []Account { return t.spec.Accounts }

// Account returns the account with the name, or nil if there is none.
func (t *Table) Account(name ident.ClientAccount) *Account {
	for i := range t.spec.Accounts {
		if a := &t.spec.Accounts[i]; a.Name == name {
			return a
		}
	}
	return nil
}

// AccountByKey returns the account with the key, or nil if there is none.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }

// NeedsKeys reports whether requests need a key, except on public routes. They need none
// if there are no accounts.
func (t *Table) NeedsKeys() bool { return len(t.spec.Accounts) > 0 }
