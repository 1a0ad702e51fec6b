// Package orders keeps the model engines of a service and failure domain at the
// model and version that the service's document specifies. It runs under a
// lease. Every order states the whole wanted state and carries the lease's
// fencing number.
//
// Engines that check the number refuse late orders of an earlier holder. For
// engines that ignore it, the holder keeps comparing their reports with the
// wanted state and repeats its order until both agree.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Engine is what this holder knows about one engine.
type Engine struct {
	ID          ident.Instance
	Incarnation ident.Incarnation
	Address     string
	// Model and Version are those that it reported last. An engine without
	// a version serves nothing.
	Model, Version string
	// Fence is the fencing number of the order that it applied last, 0 if it
	// does not report it. It reveals an order of another holder before the
	// version of that order is loaded, even if the engine does not check the
	// number.
	Fence ident.Fence
	// LastOrder is the last order that this holder sent, at LastOrderAt. Its
	// fence is 0 before the first one and after one that failed.
	LastOrder   upstream.Order
	LastOrderAt time.Time
}

// runs reports whether the engine's reported model and version are those of an
// order.
func (e Engine) runs(order upstream.Order) bool {
	return e.Model == order.Model && e.Version == order.Version
}

// follows reports whether the engine runs what an order wants and has not
// reported another order since.
func (e Engine) follows(order upstream.Order) bool {
	return e.runs(order) && (e.Fence == 0 || e.Fence == order.Fence)
}

const (
	// repeatInterval is the time between two equal orders to an engine whose
	// report differs from the order, for example because it still loads.
	repeatInterval = 2 * time.Second
	// changingDivisor limits how many engines may change their version at once:
	// 1 in 4, but at least one.
	changingDivisor = 4
)

// DueEngines returns the engines to which the wanted order has to be sent now.
//
// Each engine gets the order once from each holder. This raises its fencing
// number and sets the adapters and the role, which reports do not show. After
// that it gets the order whenever its report differs. Since reports lag, some
// orders are repeated needlessly; that is harmless, because an order states the
// whole wanted state. Only a part of the engines changes version at once, so
// that the others go on serving.
func DueEngines(engines []Engine, wanted upstream.Order, now time.Time) []ident.Instance {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	changesLeft := max(1, len(engines)/changingDivisor) - countChanging(engines, wanted)
	var due []ident.Instance
	for _, engine := range engines {
		switch {
		case equalOrders(engine.LastOrder, wanted):
			if !engine.follows(wanted) && now.Sub(engine.LastOrderAt) >= repeatInterval {
				due = append(due, engine.ID)
			}
		case engine.runs(wanted), engine.Version == "":
			due = append(due, engine.ID)
		case changesLeft > 0:
			changesLeft--
			due = append(due, engine.ID)
		}
	}
	return due
}

// countChanging returns how many engines are loading the wanted version in
// place of another.
func countChanging(engines []Engine, wanted upstream.Order) int {
	count := 0
	for _, engine := range engines {
		if equalOrders(engine.LastOrder, wanted) && !engine.runs(wanted) && engine.Version != "" {
			count++
		}
	}
	return count
}

// equalOrders reports whether two orders are the same, fence included.
func equalOrders(a, b upstream.Order) bool {
	return a.Fence == b.Fence && a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(a.Adapters, b.Adapters)
}
