package controller

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// A controller that reads the platform's list, which lags, before its own
// instance is in it must not pause as long as a process that is no candidate.
// Otherwise a system would have no controller for 10 s after its start.
func TestListInterval(t *testing.T) {
	self := platform.Instance{ID: "entry-1"}
	other := platform.Instance{ID: "entry-2"}
	for _, c := range []struct {
		name   string
		listed []platform.Instance
		wanted []lease.Wanted
		want   time.Duration
	}{
		{"no list yet", nil, nil, candidateListInterval},
		{"the own instance is not listed yet", []platform.Instance{other}, nil, candidateListInterval},
		{"listed, a candidate", []platform.Instance{other, self}, []lease.Wanted{{}}, candidateListInterval},
		{"listed, no candidate", []platform.Instance{other, self}, nil, watcherListInterval},
	} {
		p := &Process{
			settings: &settings.Controller{},
			listing:  blackboard.NewSection(blackboard.Listing{Instances: c.listed}),
		}
		p.settings.Instance.ID = self.ID
		if got := p.listInterval(c.wanted); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
