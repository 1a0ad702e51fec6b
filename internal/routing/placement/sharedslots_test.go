package placement

import (
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Guards against gateways that lease slots by turns as one of them comes and goes.
func TestSlotsStaySharedWhileAGatewayComesAndGoes(t *testing.T) {
	f := newFixture()
	gateways := 0
	f.cfg.Gateways = func() int { return gateways }
	f.view = directory.NewView([]directory.Upstream{{ID: "p0", Name: "p0", Service: "plain", Slots: 10, State: directory.Ready}})
	service := &routetable.Service{Name: "plain"}
	for _, step := range []struct {
		gateways int
		shared   bool
	}{{10, false}, {11, true}, {10, true}, {8, true}, {7, false}, {10, false}} {
		gateways = step.gateways
		if shared := len(f.SharedSlots(service)) > 0; shared != step.shared {
			t.Errorf("%d gateways at 10 slots: shared %v, want %v", step.gateways, shared, step.shared)
		}
	}
}
