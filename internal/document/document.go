// Package document describes a service: the one document that its own team
// owns and edits, and the fold of published documents to the set in force.
package document

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Kind says what a service's upstreams are.
type Kind string

// The kinds.
const (
	// Model: upstreams are model engines; callers get token streams.
	Model Kind = "model"
	// Plain: upstreams are applications; callers get unary answers.
	Plain Kind = "plain"
)

// Document is one service as its team wants it. It is immutable once parsed.
type Document struct {
	Schema  int           `toml:"schema"`
	Service ident.Service `toml:"service"`
	Kind    Kind          `toml:"kind"`
	// Model is set for kind model.
	Model ModelSpec `toml:"model"`
	// Upstream tells what the service's upstreams can be trusted with.
	Upstream UpstreamSpec `toml:"upstream"`
	// Classes are the latency classes of a model service.
	Classes []Class `toml:"classes"`
	// Methods are the methods of a plain service.
	Methods []Method `toml:"methods"`
	// Accounts are limits of client accounts. An account without an entry
	// gets DefaultAccount.
	Accounts       []AccountLimit `toml:"accounts"`
	DefaultAccount AccountLimit   `toml:"default_account"`
	Placement      Placement      `toml:"placement"`
}

// ModelSpec names what engines have to load.
type ModelSpec struct {
	Name     string   `toml:"name"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
}

// UpstreamSpec tells what the service's upstreams can be trusted with.
type UpstreamSpec struct {
	// ChecksFencing: upstreams refuse an order or call with an old fence.
	ChecksFencing bool `toml:"checks_fencing"`
	// FindsOutcomes: upstreams can tell an outcome by key.
	FindsOutcomes bool `toml:"finds_outcomes"`
}

// Class is a latency class. A target of 0 is none.
type Class struct {
	Name          ident.Class   `toml:"name"`
	FirstToken    time.Duration `toml:"first_token"`
	BetweenTokens time.Duration `toml:"between_tokens"`
	// Completion is the deadline of the whole answer.
	Completion time.Duration `toml:"completion"`
	// Priority: higher is served first.
	Priority int `toml:"priority"`
}

// Method is a method of a plain service.
type Method struct {
	Name       ident.Method  `toml:"name"`
	Idempotent bool          `toml:"idempotent"`
	Timeout    time.Duration `toml:"timeout"`
}

// AccountLimit is what a client account may use. 0 is no limit.
type AccountLimit struct {
	Account           ident.ClientAccount `toml:"account"`
	RequestsPerSecond float64             `toml:"requests_per_second"`
	Burst             int                 `toml:"burst"`
	MaxInFlight       int                 `toml:"max_in_flight"`
	// Share is the account's weight under overload; 0 counts as 1.
	Share float64 `toml:"share"`
}

// Placement says where and on what the service's upstreams run.
type Placement struct {
	// Min and Max bound the number of upstreams.
	Min int `toml:"min"`
	Max int `toml:"max"`
	// OnDemandShare is the least share, 0 to 1, on on-demand instances.
	OnDemandShare float64 `toml:"on_demand_share"`
	// Prices are in cents an hour.
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

// AccountLimit returns what an account may use.
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

// Set is all documents in force at one revision. It is immutable.
type Set struct {
	// Revision of the newest accepted record.
	Revision ident.Revision
	Services map[ident.Service]Entry
}

// Entry is a document in force.
type Entry struct {
	// Revision at which the document was accepted.
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
