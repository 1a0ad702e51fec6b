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
	KeyedShare              float64
	Services, Accounts float64
	EventsPerProbe             float64
}

// Today is what runs today, under scripts/load.sh at 200 requests a second.
func Today() Size {
	return Size{
		Name: "today", Gateways: 8, Upstreams: 13, Domains: 4, Requests: 200, Tokens: 4480, Changes: 10,
		KeyedShare: 0.3, Services: 2, Accounts: 2, EventsPerProbe: 16,
	}
}

// Target is what the system has to carry in two years.
func Target() Size {
	return Size{
		Name: "target", Gateways: 330, Upstreams: 690, Domains: 10, Requests: 4200, Tokens: 1_500_000, Changes: 740,
		KeyedShare: 0.2, Services: 20, Accounts: 1000, EventsPerProbe: 194,
	}
}

// The rates of the loops, as their packages have them.
const (
	listsPerSecond        = 0.5
	noticesPerSecond      = 2
	publicationsPerSecond = 4
	// configurationReadsPerSecond is one read at the log's head, which waits 4 s, and
	// the pause after it.
	configurationReadsPerSecond = 1 / 4.05
	idleReadsPerSecond       = 1
	journalPartitions  = 2
	// maxReadsPerSecond is how many reads of a partition follow each other in a
	// second when each returns at once: assumed 5 ms for one.
	maxReadsPerSecond  = 200
	windowHours = 1
	// meanHeartbeatLines of figures in a heartbeat, by which gRPC's cost is taken.
	meanHeartbeatLines = 16
	// candidatesPerDomain for the leases of one failure domain.
	candidatesPerDomain = 3
	// secondsPerToken is the target between two tokens of a stream.
	secondsPerToken = 0.044
	// maxProbedByAll is the number of upstreams up to which everybody probes.
	maxProbedByAll   = 64
	secondsPerDay = 86400
)

func (s Size) entries() float64      { return s.Gateways + s.Upstreams }
func (s Size) keyedCalls() float64   { return s.Requests * s.KeyedShare }
func (s Size) requestsPerGateway() float64   { return s.Requests / s.Gateways }
func (s Size) openStreamsPerGateway() float64      { return s.Tokens * secondsPerToken / s.Gateways }
func (s Size) changesPerSecond() float64   { return s.Changes / secondsPerDay }
func (s Size) keysInWindow() float64 { return s.keyedCalls() * 3600 * windowHours }
func (s Size) leaseHolders() float64 { return (s.Domains + 1) * min(candidatesPerDomain, s.Services) }

// probesPerGateway is how many upstreams one gateway probes each second.
func (s Size) probesPerGateway() float64 {
	if s.Upstreams <= maxProbedByAll {
		return s.Upstreams
	}
	return s.Upstreams * probersPerUpstream / s.Gateways
}

// exchangesPerGateway is how many heartbeats one gateway sends and serves a second.
func (s Size) exchangesPerGateway(l Lines) float64 {
	return 2 * l.at(FleetExchanges, s.entries())
}

// journalAppends of all gateways to the journal.
func (s Size) journalAppends(l Lines) float64 {
	perCall := l.slope(AppendsGateways) / callRate
	most := journalPartitions / settings.DefaultBatchWait.Seconds()
	return s.Gateways * min(perCall*s.keyedCalls()/s.Gateways, most)
}

// journalReadsPerGateway of one gateway: a read returns at once when a record
// is there.
func (s Size) journalReadsPerGateway(l Lines) float64 {
	return journalPartitions * min(max(idleReadsPerSecond, s.journalAppends(l)/journalPartitions), maxReadsPerSecond)
}
