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
	Schema  int
	Service ident.Service
	Kind    Kind
	// Model is set for kind model.
	Model ModelSpec
	// Upstream tells what the service's upstreams can be trusted with.
	Upstream UpstreamSpec
	// Classes are the latency classes of a model service.
	Classes []Class
	// Methods are the methods of a plain service.
	Methods []Method
	// Accounts are limits of client accounts. An account without an entry
	// gets DefaultAccount.
	Accounts       []AccountLimit
	DefaultAccount AccountLimit
	Placement      Placement
}

// ModelSpec names what engines have to load.
type ModelSpec struct {
	Name, Version string
	Adapters      []string
}

// UpstreamSpec tells what the service's upstreams can be trusted with.
type UpstreamSpec struct {
	// ChecksFencing: upstreams refuse an order or call with an old fence.
	ChecksFencing bool
	// FindsOutcomes: upstreams can tell an outcome by key.
	FindsOutcomes bool
}

// Class is a latency class. A target of 0 is none.
type Class struct {
	Name          ident.Class
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Completion is the deadline of the whole answer.
	Completion time.Duration
	// Priority: higher is served first.
	Priority int
}

// Method is a method of a plain service.
type Method struct {
	Name       ident.Method
	Idempotent bool
	Timeout    time.Duration
}

// AccountLimit is what a client account may use. 0 is no limit.
type AccountLimit struct {
	Account           ident.ClientAccount
	RequestsPerSecond float64
	Burst             int
	MaxInFlight       int
	// Share is the account's weight under overload; 0 counts as 1.
	Share float64
}

// Placement says where and on what the service's upstreams run.
type Placement struct {
	// Min and Max bound the number of upstreams.
	Min, Max int
	// OnDemandShare is the least share, 0 to 1, on on-demand instances.
	OnDemandShare float64
	// Prices are in cents an hour.
	Prices []Price
}

// Price is the price of one kind of instance in one failure domain.
type Price struct {
	FailureDomain ident.FailureDomain
	Class         ident.MachineClass
	Reclaimable   bool
	CentsPerHour  float64
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
