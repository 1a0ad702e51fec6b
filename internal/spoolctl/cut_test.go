package spoolctl

import (
	"net/http"
	"strings"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/operatorapi"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// Guards against a gateway's answer that breaks off, or is too long, and is printed for operators as if
// it were whole. Its JSON tells its own end.
func TestABrokenOffAnswerOfAGatewayIsNotPrinted(t *testing.T) {
	const body = `{"instance":"entry-1","ready":true,"members":[{"id":"engine-1"},{"id":"engine-2"}]}`
	server := testkit.NewRawServer(t)
	query := func(answer testkit.RawAnswer) error {
		answer.Status = http.StatusOK
		server.SetAnswer(func(*http.Request) testkit.RawAnswer { return answer })
		var status operatorapi.Status
		return queryGateway(t.Context(), server.Address(), operatorapi.StatusPath, nil, &status)
	}
	for _, framing := range testkit.Framings() {
		if err := query(testkit.RawAnswer{Framing: framing, Body: body, Cut: -1}); err != nil {
			t.Errorf("whole by %s: %v", framing, err)
		}
		for cut := range len(framing.Frame(body)) {
			for _, reset := range []bool{false, true} {
				if err := query(testkit.RawAnswer{Framing: framing, Body: body, Cut: cut, Reset: reset}); err == nil {
					t.Errorf("by %s, cut after %d bytes, reset %v: no error", framing, cut, reset)
				}
			}
		}
	}
	if err := query(testkit.RawAnswer{Framing: testkit.ByLength, Body: body + strings.Repeat(" ", maxAnswerBytes), Cut: -1}); err == nil {
		t.Error("an answer that is too long: no error")
	}
}
