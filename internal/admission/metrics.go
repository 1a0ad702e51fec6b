package admission

import (
	"expvar"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Metrics counts a controller's decisions. The zero value is usable; its
// counters are exported only after Publish.
type Metrics struct {
	// Admitted counts granted requests.
	Admitted expvar.Int
	// Refused counts refusals by reason.
	Refused expvar.Map
	// Waiting is the number of requests that wait for a slot now.
	Waiting expvar.Int
}

// Publish exports the counters through expvar as
// goldcrestspool.admission.<name>. It may be called only once per process.
func (m *Metrics) Publish() {
	expvar.Publish("goldcrestspool.admission.admitted", &m.Admitted)
	expvar.Publish("goldcrestspool.admission.refused", &m.Refused)
	expvar.Publish("goldcrestspool.admission.waiting", &m.Waiting)
}

func (m *Metrics) countDecision(refusal *outcome.Outcome) {
	if refusal == nil {
		m.Admitted.Add(1)
		return
	}
	m.Refused.Add(string(refusal.Reason), 1)
}

func (m *Metrics) addWaiting(delta int64) { m.Waiting.Add(delta) }
