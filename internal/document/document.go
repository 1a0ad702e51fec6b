// Package document defines the document that describes a service, which the
// service's team owns and edits, and derives the set of documents in force from
// the log of published ones.
package document

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Kind is the kind of a service's upstreams.
type Kind string

// The kinds.
const (
	// Model: upstreams are model engines; a caller gets a stream of tokens.
	Model Kind = "model"
	// Plain: upstreams are applications; a caller gets one answer.
	Plain Kind = "plain"
)

// Document is the configuration of one service. It is immutable once parsed.
type Document struct {
	Schema  int           `toml:"schema"`
	Service ident.Service `toml:"service"`
	Kind    Kind          `toml:"kind"`
	// Model is set for kind model.
	Model ModelSpec `toml:"model"`
	// Upstream tells what the service's upstreams support.
	Upstream UpstreamSpec `toml:"upstream"`
	// Classes are the latency classes of a model service.
	Classes []Class `toml:"classes"`
	// Methods are the methods of a plain service.
	Methods []Method `toml:"methods"`
	// Accounts are the limits of client accounts. An account without an entry
	// gets those of DefaultAccount.
	Accounts       []AccountLimit `toml:"accounts"`
	DefaultAccount AccountLimit   `toml:"default_account"`
	Placement      Placement      `toml:"placement"`
}

// ModelSpec is the model that engines have to load.
type ModelSpec struct {
	Name     string   `toml:"name"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
}

// UpstreamSpec tells what the service's upstreams support.
type UpstreamSpec struct {
	// ChecksFencing: upstreams refuse an order or a call with a fencing number
	// that is lower than an earlier one.
	ChecksFencing bool `toml:"checks_fencing"`
	// FindsOutcomes: upstreams can report the outcome of a call by its key.
	FindsOutcomes bool `toml:"finds_outcomes"`
}

// Class is a latency class.
type Class struct {
	Name ident.Class `toml:"name"`
	// FirstToken and BetweenTokens are the target times to the first token and
	// between two tokens; 0 means no target.
	FirstToken    time.Duration `toml:"first_token"`
	BetweenTokens time.Duration `toml:"between_tokens"`
	// Completion is the time within which the whole answer must be complete.
	Completion time.Duration `toml:"completion"`
	// Priority is higher for classes that are served first.
	Priority int `toml:"priority"`
}

// Method is a method of a plain service.
type Method struct {
	Name ident.Method `toml:"name"`
	// Idempotent: a call may run more than once. Other calls run at most once.
	Idempotent bool `toml:"idempotent"`
	// Timeout is the time within which one call must end.
	Timeout time.Duration `toml:"timeout"`
}

// AccountLimit limits the requests of a client account. A limit of 0 is none.
type AccountLimit struct {
	Account           ident.ClientAccount `toml:"account"`
	RequestsPerSecond float64             `toml:"requests_per_second"`
	Burst             int                 `toml:"burst"`
	MaxInFlight       int                 `toml:"max_in_flight"`
	// Share is the account's weight in the fair shares under overload; 0 counts
	// as 1.
	Share float64 `toml:"share"`
}

// Placement says where and on what the service's upstreams run.
type Placement struct {
	// Min and Max bound the number of upstreams.
	Min int `toml:"min"`
	Max int `toml:"max"`
	// OnDemandShare is the minimum share of upstreams, from 0 to 1, on instances
	// that are not reclaimable.
	OnDemandShare float64 `toml:"on_demand_share"`
	// Prices has an entry for each kind of instance that may be used.
	Prices []Price `toml:"prices"`
}

// Price is the price of one kind of instance in one failure domain.
type Price struct {
	FailureDomain ident.FailureDomain `toml:"failure_domain"`
	Class         ident.MachineClass  `toml:"class"`
	Reclaimable   bool                `toml:"reclaimable"`
	CentsPerHour  float64             `toml:"cents_per_hour"`
}

// FindClass returns the class with a name.
func (d *Document) FindClass(name ident.Class) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// FindMethod returns the method with a name.
func (d *Document) FindMethod(name ident.Method) (Method, bool) {
	for _, m := range d.Methods {
		if m.Name == name {
			return m, true
		}
	}
	return Method{}, false
}

// AccountLimit returns the limits of an account.
func (d *Document) AccountLimit(account ident.ClientAccount) AccountLimit {
	for _, a := range d.Accounts {
		if a.Account == account {
			return a
		}
	}
	limit := d.DefaultAccount
	limit.Account = account
	return limit
}

// Set holds all documents in force at one revision. It is immutable.
type Set struct {
	// Revision is that of the newest accepted publication.
	Revision ident.Revision
	Services map[ident.Service]Entry
}

// Entry is a document in force.
type Entry struct {
	// Revision is the revision from which the document is in force.
	Revision ident.Revision
	Document *Document
}

// Find returns the document of a service.
func (s *Set) Find(service ident.Service) (*Document, bool) {
	if s == nil {
		return nil, false
	}
	e, ok := s.Services[service]
	return e.Document, ok
}
