package capacity

import "github.com/goldcrestspool/goldcrestspool/internal/settings"

// Size is a size of the whole system.
type Size struct {
	Name string
	// Gateways, Upstreams and Domains are numbers; Upstreams counts runners
	// and plain services.
	Gateways, Upstreams, Domains float64
	// Requests and Tokens a second, of all gateways.
	Requests, Tokens float64
	// Changes of configuration a day.
	Changes float64
	// What follows is assumed: the share of requests that carry a key,
	// services with a document, client accounts, and cache events of one
	// engine between two probes.
	Keyed              float64
	Services, Accounts float64
	Events             float64
}

// Today is what runs today, under scripts/load.sh at 200 requests a second.
func Today() Size {
	return Size{
		Name: "today", Gateways: 8, Upstreams: 13, Domains: 4, Requests: 200, Tokens: 4480, Changes: 10,
		Keyed: 0.3, Services: 2, Accounts: 2, Events: 16,
	}
}

// Target is what the system has to carry in two years.
func Target() Size {
	return Size{
		Name: "target", Gateways: 330, Upstreams: 690, Domains: 10, Requests: 4200, Tokens: 1_500_000, Changes: 740,
		Keyed: 0.2, Services: 20, Accounts: 1000, Events: 194,
	}
}

// The rates of the loops, as their packages have them.
const (
	listsPerSecond        = 0.5
	noticesPerSecond      = 2
	publicationsPerSecond = 4
	// configurationReads is one read at the log's head, which waits 4 s, and
	// the pause after it.
	configurationReads = 1 / 4.05
	journalReads       = 1
	journalPartitions  = 2
	// quickReads is how many reads of a partition follow each other in a
	// second when each returns at once: assumed 5 ms for one.
	quickReads  = 200
	windowHours = 1
	// meanLines of figures in a heartbeat, by which gRPC's cost is taken.
	meanLines = 16
	// candidates for the leases of one failure domain.
	candidates = 3
	// tokenTime is the target between two tokens of a stream.
	tokenTime = 0.044
	// probedByAll is the number of upstreams up to which everybody probes.
	probedByAll   = 64
	secondsPerDay = 86400
)

func (s Size) entries() float64      { return s.Gateways + s.Upstreams }
func (s Size) keyedCalls() float64   { return s.Requests * s.Keyed }
func (s Size) perGateway() float64   { return s.Requests / s.Gateways }
func (s Size) streams() float64      { return s.Tokens * tokenTime / s.Gateways }
func (s Size) changeRate() float64   { return s.Changes / secondsPerDay }
func (s Size) keysInWindow() float64 { return s.keyedCalls() * 3600 * windowHours }
func (s Size) leaseHolders() float64 { return (s.Domains + 1) * min(candidates, s.Services) }

// probes is how many upstreams one gateway probes each second.
func (s Size) probes() float64 {
	if s.Upstreams <= probedByAll {
		return s.Upstreams
	}
	return s.Upstreams * probers / s.Gateways
}

// exchanges is how many heartbeats one gateway sends and serves a second.
func (s Size) exchanges(l Lines) float64 {
	return 2 * l.at(FleetExchanges, s.entries())
}

// appends of all gateways to the journal.
func (s Size) appends(l Lines) float64 {
	perCall := l.slope(AppendsGateways) / callRate
	most := journalPartitions / settings.DefaultBatchWait.Seconds()
	return s.Gateways * min(perCall*s.keyedCalls()/s.Gateways, most)
}

// journalReadsPerSecond of one gateway: a read returns at once when a record
// is there.
func (s Size) journalReadsPerSecond(l Lines) float64 {
	return journalPartitions * min(max(journalReads, s.appends(l)/journalPartitions), quickReads)
}
