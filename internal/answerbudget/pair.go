package answerbudget

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
)

// Pair bounds what all answers make a process hold: those that callers wait for, and those to the process itself, of the
// platform and of other gateways. The latter have room of their own, so that no upstream keeps them out.
type Pair struct{ ForCallers, Own *Budget }

// NewPair returns a Pair of which nothing is held.
func NewPair(now boottime.Clock, log hclog.Logger, forCallers, own Limits) Pair {
	return Pair{
		ForCallers: New(Config{Now: now, Log: log.Named("answers"), Limits: forCallers}),
		Own:        New(Config{Now: now, Log: log.Named("own answers"), Limits: own}),
	}
}

// States are the states of a Pair.
type States struct{ ForCallers, Own State }

// States returns the current states.
func (p Pair) States() States { return States{ForCallers: p.ForCallers.State(), Own: p.Own.State()} }

// WriteMetrics prints the states as text, one metric per line.
func (p Pair) WriteMetrics(w io.Writer) {
	states := p.States()
	for name, s := range map[string]State{"callers": states.ForCallers, "own": states.Own} {
		fmt.Fprintf(w, "answers_memory_bytes{for=%[1]q} %[2]d\nanswers_memory_limit_bytes{for=%[1]q} %[3]d\nanswers_waiting{for=%[1]q} %[4]d\nanswers_waited_total{for=%[1]q} %[5]d\n"+
			"answers_without_room_total{for=%[1]q} %[6]d\nanswers_yielded_total{for=%[1]q} %[7]d\n", name, s.Bytes, s.Limit, s.Waiting, s.Waited, s.Refused, s.Yielded)
	}
}
