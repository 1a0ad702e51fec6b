package capacity

import "github.com/goldcrestspool/goldcrestspool/internal/settings"

// Size is a size of the whole system.
type Size struct {
	Name string
	// Gateways, Upstreams and Domains (failure domains) are numbers of them.
	// Upstreams are runners and plain services.
	Gateways, Upstreams, Domains float64
	// Requests and Tokens are rates per second at all gateways together.
	Requests, Tokens float64
	// Changes is how many changes of configuration there are per day.
	Changes float64
	// The following are assumptions: the share of requests that have an
	// idempotency key, the numbers of services with a document and of client
	// accounts, and how many cache events an engine has between two probes.
	KeyedShare         float64
	Services, Accounts float64
	EventsPerProbe     float64
}

// Today returns the size of the system that scripts/load.sh runs at 200 requests per
// second.
func Today() Size {
	return Size{
		Name: "today", Gateways: 8, Upstreams: 13, Domains: 4, Requests: 200, Tokens: 4480, Changes: 10,
		KeyedShare: 0.3, Services: 2, Accounts: 2, EventsPerProbe: 16,
	}
}

// Target returns the size that the system has to reach within two years.
func Target() Size {
	return Size{
		Name: "target", Gateways: 330, Upstreams: 690, Domains: 10, Requests: 4200, Tokens: 1_500_000, Changes: 740,
		KeyedShare: 0.2, Services: 20, Accounts: 1000, EventsPerProbe: 194,
	}
}

// The rates of the periodic loops, as their packages define them.
const (
	listsPerSecond        = 0.5
	noticesPerSecond      = 2
	publicationsPerSecond = 4
	// configurationReadsPerSecond follows from one read at the log's head, which
	// waits 4 s, and the pause of 50 ms after it.
	configurationReadsPerSecond = 1 / 4.05
	// idleReadsPerSecond is the rate of reads of a journal partition without new
	// records.
	idleReadsPerSecond = 1
	journalPartitions  = 2
	// maxReadsPerSecond is the rate of reads of a partition if each returns at
	// once. A read is assumed to take 5 ms.
	maxReadsPerSecond = 200
	windowHours       = 1
	// meanHeartbeatLines is the number of lines of load figures in a heartbeat
	// for which gRPC's cost is computed.
	meanHeartbeatLines = 16
	// candidatesPerDomain is how many controllers compete for the leases of one
	// failure domain.
	candidatesPerDomain = 3
	// secondsPerToken is the target time between two tokens of a stream.
	secondsPerToken = 0.044
	// maxProbedByAll is the number of upstreams up to which every gateway probes
	// each of them.
	maxProbedByAll = 64
	secondsPerDay  = 86400
)

func (s Size) entries() float64               { return s.Gateways + s.Upstreams }
func (s Size) keyedCalls() float64            { return s.Requests * s.KeyedShare }
func (s Size) requestsPerGateway() float64    { return s.Requests / s.Gateways }
func (s Size) openStreamsPerGateway() float64 { return s.Tokens * secondsPerToken / s.Gateways }
func (s Size) changesPerSecond() float64      { return s.Changes / secondsPerDay }
func (s Size) keysInWindow() float64          { return s.keyedCalls() * 3600 * windowHours }
func (s Size) leaseHolders() float64          { return (s.Domains + 1) * min(candidatesPerDomain, s.Services) }

// probesPerGateway returns how many upstreams one gateway probes per second.
func (s Size) probesPerGateway() float64 {
	if s.Upstreams <= maxProbedByAll {
		return s.Upstreams
	}
	return s.Upstreams * probersPerUpstream / s.Gateways
}

// exchangesPerGateway returns how many heartbeats one gateway sends and serves per
// second.
func (s Size) exchangesPerGateway(l Lines) float64 {
	return 2 * l.at(FleetExchanges, s.entries())
}

// journalAppends returns the appends of all gateways to the journal per second.
func (s Size) journalAppends(l Lines) float64 {
	perCall := l.slope(AppendsGateways) / callRate
	maxPerGateway := journalPartitions / settings.DefaultBatchWait.Seconds()
	return s.Gateways * min(perCall*s.keyedCalls()/s.Gateways, maxPerGateway)
}

// journalReadsPerGateway returns one gateway's reads of the journal per second. A read
// returns at once if there is a record.
func (s Size) journalReadsPerGateway(l Lines) float64 {
	return journalPartitions * min(max(idleReadsPerSecond, s.journalAppends(l)/journalPartitions), maxReadsPerSecond)
}
