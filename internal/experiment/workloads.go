package experiment

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// The numbers of runners, plain runners and gateways of both workloads; see
// docs/design/routing.md for their origin.
const (
	modelRunners = 9
	plainRunners = 4
	gatewayCount = 6
)

// The names of the workloads, as reports print them.
const (
	domaenenhausName = "domaenenhaus"
	harfangName      = "harfang"
)

// accountShares are the shares of five client accounts, three of which are large.
var accountShares = []float64{0.40, 0.30, 0.20, 0.05, 0.05}

func class(name ident.Class, first, between, completion time.Duration, priority int) document.Class {
	return document.Class{Name: name, FirstToken: first, BetweenTokens: between, Completion: completion, Priority: priority}
}

// Domaenenhaus returns the workload with long dossiers that share prefixes, drafts, tags and
// bids. To this user recomputed tokens matter more than cost. Its document therefore has no
// prices, so that requests stay where their prefix is cached.
func Domaenenhaus() *Workload {
	domains := []ident.FailureDomain{"hall-a", "hall-b", "hall-c", "hall-d"}
	w := &Workload{Name: domaenenhausName, Accounts: accountShares, Kinds: []Kind{
		{
			Class: class("tag", 460*time.Millisecond, 44*time.Millisecond, 0, 3),
			Share: 0.50, Prefixes: 4, PrefixTokens: 512, OwnTokens: 50, OutputTokens: 8, Patience: 8 * time.Second,
		},
		{
			Class: class("draft", 1500*time.Millisecond, 60*time.Millisecond, 0, 2),
			Share: 0.30, Prefixes: 3, PrefixTokens: 1024, OwnTokens: 300, OutputTokens: 150, Patience: 20 * time.Second,
		},
		{
			Class: class("dossier", 4*time.Second, 100*time.Millisecond, 2*time.Minute, 1),
			Share: 0.20, Prefixes: 40, PrefixTokens: 3072, OwnTokens: 1500, OutputTokens: 600,
		},
		{
			Class: class("bid", 100*time.Millisecond, 0, time.Second, 3),
			Plain: true, Share: 0.50, OwnTokens: 1, OutputTokens: 1,
		},
	}}
	return w.deployTo(domains, "spool-llm", "auktion-app")
}

// Harfang returns the workload with short replies in conversations, long reviews and
// bookings. To this user cost matters more, and its document has prices.
func Harfang() *Workload {
	domains := []ident.FailureDomain{"salle-a", "salle-b", "salle-c", "salle-d"}
	w := &Workload{Name: harfangName, Accounts: accountShares, Kinds: []Kind{
		{
			Class: class("reply", 460*time.Millisecond, 44*time.Millisecond, 0, 3),
			Share: 0.80, Prefixes: 1, PrefixTokens: 768, OwnTokens: 120, OutputTokens: 40,
			Turns: 6, ThinkTime: 12 * time.Second, Patience: 8 * time.Second,
		},
		{
			Class: class("review", 3*time.Second, 100*time.Millisecond, time.Minute, 1),
			Share: 0.20, Prefixes: 2, PrefixTokens: 512, OwnTokens: 3000, OutputTokens: 500,
		},
		{
			Class: class("booking", 100*time.Millisecond, 0, time.Second, 3),
			Plain: true, Share: 0.20, OwnTokens: 1, OutputTokens: 1,
		},
	}}
	w.deployTo(domains, "goldcrest-modeles", "appli-jumelage")
	w.Model.Placement.Prices = w.Prices
	return w
}

// deployTo sets the workload's documents, prices and runners, in the given failure domains.
func (w *Workload) deployTo(domains []ident.FailureDomain, model, plain ident.Service) *Workload {
	w.Model = &document.Document{Service: model, Kind: document.Model}
	w.Prices = prices(domains)
	for _, k := range w.Kinds {
		if !k.Plain {
			w.Model.Classes = append(w.Model.Classes, k.Class)
		}
	}
	w.Plain = &document.Document{Service: plain, Kind: document.Plain}
	w.Runners = placeInstances(model, "runner-", domains, modelRunners, platform.RoleEngine)
	w.PlainRunners = placeInstances(plain, "app-", domains, plainRunners, platform.RolePlain)
	return w
}

// Case is a load together with a fault.
type Case struct {
	Name string
	// Load is a fraction of the workload's Capacity.
	Load float64
	// SpikeLoad is the load from faultAt to faultEnd; 0 means no load spike.
	SpikeLoad float64
	// Reclaim means that the instances of the first failure domain are reclaimed,
	// after a notice.
	Reclaim bool
	// FailingStarts is how many starts of each replacement fail before one succeeds.
	FailingStarts int
	// Slowdown is the factor by which one runner is slower than it reports; 0 means
	// that none is.
	Slowdown float64
	// ReportLag replaces the engines' report lag; 0 keeps it.
	ReportLag time.Duration
	// EventGapEvery is the number of series of cache events of which one is lost; 0
	// means that none is.
	EventGapEvery uint64
	// GreedyFactor multiplies the requests of the last client account; 0 leaves them.
	GreedyFactor float64
	// RefusedShare is the fraction of attempts that upstreams refuse from faultAt
	// to faultEnd.
	RefusedShare float64
}

// The times of a run: requests count from warmUp on, the fault lasts from faultAt to faultEnd,
// and arrivals stop at arrivalsEnd. reclaimNotice is the time from a reclaim's notice until the
// instances end.
const (
	warmUp        = 20 * time.Second
	faultAt       = 45 * time.Second
	faultEnd      = 85 * time.Second
	arrivalsEnd   = 100 * time.Second
	reclaimNotice = 5 * time.Second
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{
		{Name: "no fault", Load: 0.7},
		{Name: "load 0.9", Load: 0.9},
		{Name: "domain reclaimed", Load: 0.6, Reclaim: true},
		{Name: "reclaimed, starts fail", Load: 0.6, Reclaim: true, FailingStarts: 100},
		{Name: "slow upstream", Load: 0.7, Slowdown: 4},
		{Name: "rush 1.5", Load: 0.7, SpikeLoad: 1.5},
		{Name: "rush 3", Load: 0.7, SpikeLoad: 3},
		{Name: "one account x10", Load: 0.7, GreedyFactor: 10},
		{Name: "brown-out", Load: 0.6, RefusedShare: 0.5},
		{Name: "reports lag 5 s", Load: 0.7, ReportLag: 5 * time.Second},
		{Name: "cache events with gaps", Load: 0.7, EventGapEvery: 3},
	}
}

// phases returns the case's load over time. The loads of overlapping phases add up.
func (c Case) phases() []phase {
	load := c.Load
	if c.GreedyFactor > 0 {
		load *= 1 + (c.GreedyFactor-1)*accountShares[len(accountShares)-1]
	}
	list := []phase{{load: load, to: arrivalsEnd}}
	if c.SpikeLoad > 0 {
		list = append(list, phase{load: c.SpikeLoad - c.Load, from: faultAt, to: faultEnd})
	}
	return list
}

// accounts returns the client accounts' relative shares of the requests in a case.
func (c Case) accounts(w *Workload) []float64 {
	shares := append([]float64(nil), w.Accounts...)
	if c.GreedyFactor > 0 {
		shares[len(shares)-1] *= c.GreedyFactor
	}
	return shares
}
