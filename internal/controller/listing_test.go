package controller

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// Symptom: nobody controls a system for 10 s after it was started. Sequence: a
// controller reads the platform's list, which lags, before its instance is in
// it. Cause: it takes itself for a watcher and waits as long as one.
func TestListingPause(t *testing.T) {
	self := platform.Instance{ID: "entry-1"}
	other := platform.Instance{ID: "entry-2"}
	for _, c := range []struct {
		name   string
		listed []platform.Instance
		wanted []lease.Wanted
		want   time.Duration
	}{
		{"no list yet", nil, nil, candidateListing},
		{"the own instance is not listed yet", []platform.Instance{other}, nil, candidateListing},
		{"listed, a candidate", []platform.Instance{other, self}, []lease.Wanted{{}}, candidateListing},
		{"listed, no candidate", []platform.Instance{other, self}, nil, watcherListing},
	} {
		p := &Process{
			settings: &settings.Controller{},
			listing:  blackboard.NewSection(blackboard.Listing{Instances: c.listed}),
		}
		p.settings.Instance.ID = self.ID
		if got := p.listingPause(c.wanted); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
