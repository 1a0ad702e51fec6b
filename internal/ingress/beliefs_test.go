package ingress

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// The ends of answers in TestTheLineOfARequestTellsTheEndThatDecided.
var (
	brokenOff = forward.AnswerEnd{End: completion.End{Framing: completion.ByClose, Ending: completion.Closed, Position: completion.InsideEvent}, BytesAfter: 15}
	rejection = forward.AnswerEnd{End: completion.End{Framing: completion.ByLength, Ending: completion.AtFrame}}
	wholeRest = forward.AnswerEnd{End: completion.End{Framing: completion.ByChunks, Ending: completion.AtFrame, Position: completion.AfterEvent}}
)

// Guards against a request whose stream was broken off and whose line says that the answer was
// complete, because another upstream turned the rest away.
func TestTheLineOfARequestTellsTheEndThatDecided(t *testing.T) {
	for _, c := range []struct {
		name string
		step forward.Step
		ends []forward.AnswerEnd
		want string
	}{
		{"broken off", forward.Break, []forward.AnswerEnd{brokenOff}, `"answer":"incomplete"`},
		{"broken off, and its rest turned away", forward.Break, []forward.AnswerEnd{brokenOff, rejection, rejection}, `"answer":"incomplete"`},
		{"broken off and resumed", forward.Deliver, []forward.AnswerEnd{brokenOff, wholeRest}, `"answer":"complete"`},
		{"turned away only", forward.Refuse, []forward.AnswerEnd{rejection}, `"answer":"complete"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log bytes.Buffer
			now := time.Unix(1000, 0)
			s := &Server{
				cfg:               Config{Now: func() time.Time { return now }, Metrics: NewMetrics(), Log: hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})},
				successLogLimiter: rate.NewLimiter(1, 1),
			}
			call := &forward.Call{ID: "r", Route: &routetable.Route{Kind: routetable.Streaming}, Service: &routetable.Service{Name: "svc"}, Received: now}
			s.recordOutcome(call, forward.Outcome{Step: c.step, Status: 200, Attempts: len(c.ends), Ends: c.ends, LastEvent: "2"})
			if !strings.Contains(log.String(), c.want) {
				t.Errorf("the line lacks %s: %s", c.want, log.String())
			}
		})
	}
}
