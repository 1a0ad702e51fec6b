package entry

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
)

// answerMemory bounds what answers make the process hold: those that callers wait for, and those to the process itself,
// of the platform and of other gateways. The latter have room of their own, so that no upstream keeps them out.
type answerMemory struct{ forCallers, own *answerbudget.Budget }

func newAnswerMemory(machine membudget.Machine, now boottime.Clock, log hclog.Logger) answerMemory {
	forCallers, own := machine.Answers(httpconn.UnreadBytes)
	return answerMemory{
		forCallers: answerbudget.New(answerbudget.Config{Now: now, Log: log.Named("answers"), Bytes: forCallers.Bytes, Waiting: forCallers.Waiting}),
		own:        answerbudget.New(answerbudget.Config{Now: now, Log: log.Named("own answers"), Bytes: own.Bytes, Waiting: own.Waiting}),
	}
}

// writeMetrics prints the state as text, one metric per line.
func (a answerMemory) writeMetrics(w io.Writer) {
	for _, of := range []struct {
		name   string
		budget *answerbudget.Budget
	}{{"callers", a.forCallers}, {"own", a.own}} {
		s := of.budget.State()
		fmt.Fprintf(w, "answers_memory_bytes{for=%[1]q} %[2]d\nanswers_memory_limit_bytes{for=%[1]q} %[3]d\nanswers_waiting{for=%[1]q} %[4]d\nanswers_waited_total{for=%[1]q} %[5]d\n"+
			"answers_without_room_total{for=%[1]q} %[6]d\nanswers_yielded_total{for=%[1]q} %[7]d\n", of.name, s.Bytes, s.Limit, s.Waiting, s.Waited, s.Refused, s.Yielded)
	}
}
