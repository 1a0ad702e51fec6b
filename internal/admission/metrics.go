package admission

import (
	"expvar"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Metrics counts what a controller decided. The zero value counts unseen.
type Metrics struct {
	// Admitted counts granted requests.
	Admitted expvar.Int
	// Refused counts refusals by reason.
	Refused expvar.Map
	// Waiting is how many requests wait now.
	Waiting expvar.Int
}

// Publish makes the counters visible as goldcrestspool.admission.<name>. It
// may be called once in a process.
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
