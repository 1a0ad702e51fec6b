package orders_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/controllers/orders"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Engines stop serving while they load a version. If all of them got the order
// for a new version at once, the service would answer nobody meanwhile.
func TestOnlyAPartOfTheEnginesChangesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := upstream.Order{Fence: 5, Model: "m", Version: "2"}
	// fleet returns 9 engines at version 1, some of which were ordered.
	fleet := func(ordered, loaded, empty int) []orders.Engine {
		var engines []orders.Engine
		for i := range 9 {
			e := orders.Engine{ID: ident.Instance(fmt.Sprintf("e%d", i)), Model: "m", Version: "1"}
			if i < ordered {
				e.LastOrder, e.LastOrderAt, e.Fence = wanted, now, 5
			}
			if i < loaded {
				e.Version = "2"
			}
			if i >= 9-empty {
				e.Model, e.Version = "", ""
			}
			engines = append(engines, e)
		}
		return engines
	}
	cases := []struct {
		name    string
		engines []orders.Engine
		after   time.Duration
		want    []ident.Instance
	}{
		{"at first two of nine", fleet(0, 0, 0), 0, []ident.Instance{"e0", "e1"}},
		{"none more while these load", fleet(2, 0, 0), time.Second, nil},
		{"the next one when one has loaded", fleet(2, 1, 0), time.Second, []ident.Instance{"e2"}},
		{"those that load are reminded", fleet(2, 0, 0), 2 * time.Second, []ident.Instance{"e0", "e1"}},
		{"engines that serve nothing do not wait", fleet(2, 0, 3), time.Second, []ident.Instance{"e6", "e7", "e8"}},
		{"nothing to do", fleet(9, 9, 0), time.Minute, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, orders.DueEngines(c.engines, wanted, now.Add(c.after))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
