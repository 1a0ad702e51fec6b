package retry_test

import "github.com/goldcrestspool/goldcrestspool/internal/retry"

// playedFleet is what the gateways of a play have in common.
type playedFleet struct{ play *play }

// playedProcess is one process of a gateway.
type playedProcess struct{ budget *retry.FleetBudget }

func newPlayedFleet(p *play) *playedFleet { return &playedFleet{p} }

// refresh lets the gateways hear from each other.
func (f *playedFleet) refresh() {}

func (f *playedFleet) start(i int) *playedProcess {
	return &playedProcess{retry.NewFleetBudget(playConfig, func() int { return f.play.heardBy(i) + 1 })}
}
