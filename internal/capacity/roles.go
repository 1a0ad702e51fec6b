package capacity

// The budgets of the control plane on one node: processor time in microseconds per second,
// memory in bytes, and bytes per second; for all processes together: appends to the log per
// second, and milliseconds until a configuration is in force everywhere.
const (
	budgetProcessor = 12_000
	budgetMemory    = 64e6
	budgetBytes     = 24_000
	budgetAppends   = 300
	budgetInForce   = 12_000
)

// figureOrigin says how a figure was obtained.
type figureOrigin string

const (
	// computed: from measured lines, rates defined in the code, and sizes.
	computed figureOrigin = "computed"
	// measuredToday: measured at today's size, computed for larger sizes.
	measuredToday figureOrigin = "measured today"
	// assumed: computed from a size that is an assumption.
	assumed figureOrigin = "assumes shares"
)

// row is one figure of a role.
type row struct {
	role, description string
	unit              Unit
	origin            figureOrigin
	sources           []ID
	value             func(Lines, Size) float64
	// total is the total that the figure is added to; noTotal if none.
	total total
}

// total is a sum of figures that has a budget.
type total string

const (
	noTotal        total = ""
	totalProcessor total = "control: processor time of one gateway"
	totalMemory    total = "control: memory of one gateway"
	totalBytes     total = "control: bytes of one gateway, in and out"
	totalAppends   total = "log: appends of all processes"
)

// allRows returns all figures. Each is for one gateway unless its description says
// otherwise.
func allRows() []row {
	return concat(membershipRows(), probingRows(), routingRows(), configurationRows(), journalRows(), controllerRows(), streamRows())
}

func concat(parts ...[]row) []row {
	var all []row
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

func membershipRows() []row {
	const role = "membership"
	return []row{
		{role, "heartbeats sent and served", PerSecond, measuredToday, []ID{FleetExchanges},
			func(l Lines, s Size) float64 { return s.exchangesPerGateway(l) }, noTotal},
		{role, "heartbeats: merge and gRPC", MicrosPerSecond, measuredToday, []ID{FleetProcessor, HeartbeatWire},
			func(l Lines, s Size) float64 {
				return l.at(FleetProcessor, s.entries()) + s.exchangesPerGateway(l)*l.at(HeartbeatWire, meanHeartbeatLines)
			}, totalProcessor},
		{role, "heartbeats with their gRPC frames", BytesPerSecond, measuredToday, []ID{FleetBytes, HeartbeatBytes},
			func(l Lines, s Size) float64 {
				return l.at(FleetBytes, s.entries()) + s.exchangesPerGateway(l)*l.at(HeartbeatBytes, 0)
			}, totalBytes},
		{role, "table and snapshot", Bytes, computed, []ID{FleetMemory},
			func(l Lines, s Size) float64 { return l.at(FleetMemory, s.entries()) }, totalMemory},
		{role, "platform's list and notices", MicrosPerSecond, computed, []ID{ListWire, ListMerge, ReadWire},
			func(l Lines, s Size) float64 {
				return listsPerSecond*(l.at(ListWire, s.entries())+l.at(ListMerge, s.entries())) + noticesPerSecond*l.at(ReadWire, 0)
			}, totalProcessor},
		{role, "platform's list and notices", BytesPerSecond, computed, []ID{ListWireBytes, ReadWireBytes},
			func(l Lines, s Size) float64 {
				return listsPerSecond*l.at(ListWireBytes, s.entries()) + noticesPerSecond*l.at(ReadWireBytes, 0)
			}, totalBytes},
	}
}

func probingRows() []row {
	const role = "probing"
	return []row{
		{role, "upstreams probed", PerSecond, computed, nil,
			func(_ Lines, s Size) float64 { return s.probesPerGateway() }, noTotal},
		{role, "probes and publication", MicrosPerSecond, assumed, []ID{ProbingLocal, ProbeWire},
			func(l Lines, s Size) float64 {
				return l.at(ProbingLocal, s.Upstreams) + s.probesPerGateway()*l.at(ProbeWire, s.EventsPerProbe)
			}, totalProcessor},
		{role, "probes", BytesPerSecond, assumed, []ID{ProbeBytes},
			func(l Lines, s Size) float64 { return s.probesPerGateway() * l.at(ProbeBytes, s.EventsPerProbe) }, totalBytes},
	}
}

func routingRows() []row {
	return []row{
		{"cache view", "cache views, views and slots", Bytes, computed, []ID{RoutingMemory, CacheMemory},
			func(l Lines, s Size) float64 { return l.at(RoutingMemory, s.Upstreams) }, totalMemory},
		{"routing", "new views, for routing and admission", MicrosPerSecond, computed, []ID{Preparation, SetUpstreams},
			func(l Lines, s Size) float64 {
				return publicationsPerSecond * (l.at(Preparation, s.Upstreams) + l.at(SetUpstreams, s.Upstreams))
			}, totalProcessor},
		{"routing", "decisions, two a request (data path)", MicrosPerSecond, computed, []ID{Decision},
			func(l Lines, s Size) float64 { return 2 * s.requestsPerGateway() * l.at(Decision, s.Upstreams) }, noTotal},
		{"admission", "requests (data path)", MicrosPerSecond, computed, []ID{Admission},
			func(l Lines, s Size) float64 { return s.requestsPerGateway() * l.at(Admission, s.Accounts) }, noTotal},
		{"admission", "client accounts of one service", Bytes, assumed, []ID{AdmissionMemory},
			func(l Lines, s Size) float64 { return l.at(AdmissionMemory, s.Accounts) }, totalMemory},
	}
}

func configurationRows() []row {
	const role = "configuration"
	return []row{
		{role, "reads at the log's head and changes", MicrosPerSecond, computed, []ID{ReadWire, ChangeCost},
			func(l Lines, s Size) float64 {
				return configurationReadsPerSecond*l.at(ReadWire, 0) + s.changesPerSecond()*l.at(ChangeCost, s.Services)
			}, totalProcessor},
		{role, "reads at the log's head and changes", BytesPerSecond, computed, []ID{ReadWireBytes, SnapshotBytes},
			func(l Lines, s Size) float64 {
				return configurationReadsPerSecond*l.at(ReadWireBytes, 0) + s.changesPerSecond()*l.slope(SnapshotBytes)
			}, totalBytes},
		{role, "documents", Bytes, assumed, []ID{DocumentMemory},
			func(l Lines, s Size) float64 { return l.at(DocumentMemory, s.Services) }, totalMemory},
		{role, "append to in force everywhere, log without delay", Milliseconds, computed, []ID{InForce},
			func(l Lines, s Size) float64 { return l.at(InForce, s.Gateways) }, noTotal},
		{role, "all gateways and controllers: reads of the log", PerSecond, computed, nil,
			func(_ Lines, s Size) float64 { return 2 * s.Gateways * configurationReadsPerSecond }, noTotal},
		{role, "all: bytes that the log sends for one change", Bytes, computed, []ID{SnapshotBytes},
			func(l Lines, s Size) float64 { return 2 * s.Gateways * l.slope(SnapshotBytes) }, noTotal},
	}
}

func journalRows() []row {
	const role = "journal"
	return []row{
		{role, "all gateways: keyed calls", PerSecond, assumed, nil,
			func(_ Lines, s Size) float64 { return s.keyedCalls() }, noTotal},
		{role, "all gateways: appends", PerSecond, assumed, []ID{AppendsGateways, AppendsInterval},
			func(l Lines, s Size) float64 { return s.journalAppends(l) }, totalAppends},
		{role, "reads of one gateway", PerSecond, assumed, []ID{AppendsGateways},
			func(l Lines, s Size) float64 { return s.journalReadsPerGateway(l) }, noTotal},
		{role, "reading every record", MicrosPerSecond, assumed, []ID{KeyProcessor, ReadWire},
			func(l Lines, s Size) float64 {
				records := recordsPerKey * s.keyedCalls()
				return s.keyedCalls()*l.slope(KeyProcessor) + records*l.slope(ReadWire) + s.journalReadsPerGateway(l)*l.at(ReadWire, 0)
			}, totalProcessor},
		{role, "reading every record", BytesPerSecond, assumed, []ID{ReadWireBytes},
			func(l Lines, s Size) float64 {
				return recordsPerKey*s.keyedCalls()*l.slope(ReadWireBytes) + s.journalReadsPerGateway(l)*l.at(ReadWireBytes, 0)
			}, totalBytes},
		{role, "an hour of keys", Bytes, assumed, []ID{KeyMemory},
			func(l Lines, s Size) float64 { return s.keysInWindow() * l.slope(KeyMemory) }, totalMemory},
	}
}

func controllerRows() []row {
	const role = "controller"
	return []row{
		{role, "all: appends of leases", PerSecond, assumed, []ID{LeaseAppends},
			func(l Lines, s Size) float64 { return s.leaseHolders() * l.at(LeaseAppends, 1) }, totalAppends},
		{role, "all: reads of leases", PerSecond, computed, nil,
			func(_ Lines, s Size) float64 { return (s.Domains + 1) * candidatesPerDomain }, noTotal},
		{role, "one holder of all leases of a domain: reports of its engines", MicrosPerSecond, computed, []ID{ProbeWire},
			func(l Lines, s Size) float64 { return s.Upstreams / s.Domains * l.at(ProbeWire, 0) / 2 }, noTotal},
		{role, "one holder of all fleet leases: plans", MicrosPerSecond, assumed, []ID{PlanCost},
			func(l Lines, s Size) float64 { return s.Services * l.at(PlanCost, s.Upstreams/s.Services) }, noTotal},
		{role, "platform's list, candidates", MicrosPerSecond, computed, []ID{ListWire},
			func(l Lines, s Size) float64 { return listsPerSecond * l.at(ListWire, s.entries()) }, noTotal},
		{role, "all: snapshots and changes of configuration", PerSecond, computed, nil,
			func(_ Lines, s Size) float64 { return s.changesPerSecond() + 1.0/600 }, totalAppends},
	}
}

func streamRows() []row {
	const role = "streams (data path)"
	return []row{
		{role, "tokens", PerSecond, computed, nil,
			func(_ Lines, s Size) float64 { return s.Tokens / s.Gateways }, noTotal},
		{role, "open streams at 44 ms a token", "", computed, nil,
			func(_ Lines, s Size) float64 { return s.openStreamsPerGateway() }, noTotal},
		{role, "tokens, without the network", MicrosPerSecond, computed, []ID{StreamCost},
			func(l Lines, s Size) float64 { return s.Tokens / s.Gateways * l.slope(StreamCost) }, noTotal},
		{role, "open streams, without buffers of the network", Bytes, computed, []ID{StreamMemory},
			func(l Lines, s Size) float64 { return s.openStreamsPerGateway() * l.slope(StreamMemory) }, noTotal},
	}
}
