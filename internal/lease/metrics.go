package lease

import "expvar"

// metrics holds the counters of this process's leases.
type metrics struct {
	reads, appends, answersLost                      expvar.Int
	claimsAccepted, claimsRejected                   expvar.Int
	renewalsAccepted, renewalsRejected, otherRecords expvar.Int
}

// counters are published under the names that operators see.
var counters metrics

func init() {
	vars := expvar.NewMap("goldcrestspool.lease")
	vars.Set("reads", &counters.reads)
	vars.Set("appends", &counters.appends)
	vars.Set("answers_lost", &counters.answersLost)
	vars.Set("claims_accepted", &counters.claimsAccepted)
	vars.Set("claims_rejected", &counters.claimsRejected)
	vars.Set("renewals_accepted", &counters.renewalsAccepted)
	vars.Set("renewals_rejected", &counters.renewalsRejected)
	vars.Set("other_records", &counters.otherRecords)
}

// countResult counts the verdict on a record that this process wrote.
func (m *metrics) countResult(kind Kind, verdict Verdict) {
	switch {
	case kind == Claim && verdict == Accepted:
		m.claimsAccepted.Add(1)
	case kind == Claim:
		m.claimsRejected.Add(1)
	case kind == Renewal && verdict == Accepted:
		m.renewalsAccepted.Add(1)
	case kind == Renewal:
		m.renewalsRejected.Add(1)
	default:
		m.otherRecords.Add(1)
	}
}
