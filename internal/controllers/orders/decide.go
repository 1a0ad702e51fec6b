// Package orders keeps the model engines of a service and failure domain at the
// model and version that the service's document wants. It runs under a lease;
// every order is absolute and carries the lease's fencing number.
//
// Engines that check the number refuse what an earlier holder sends late. For
// engines that ignore it the holder never stops comparing what they report with
// what is wanted, and orders again until both agree: it repairs from state.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Engine is what this holder knows of one engine.
type Engine struct {
	ID          ident.Instance
	Incarnation ident.Incarnation
	Address     string
	// Model and Version are those that it reported last. An engine without
	// a version serves nothing.
	Model, Version string
	// Fence is the number of the order that it applied last, 0 where it does
	// not tell. It shows an order of another holder before that one's version
	// is loaded, also where the engine does not check the number.
	Fence ident.Fence
	// Last is the order that this holder sent last, and when. Its fence is 0
	// before the first one.
	Last   upstream.Order
	LastAt time.Time
}

// at reports whether the engine runs what an order wants, as far as it tells.
func (e Engine) at(order upstream.Order) bool {
	return e.Model == order.Model && e.Version == order.Version
}

// follows reports whether the engine does what an order wants, and obeyed no
// other one since.
func (e Engine) follows(order upstream.Order) bool {
	return e.at(order) && (e.Fence == 0 || e.Fence == order.Fence)
}

const (
	// repeatEvery is the time between two equal orders to an engine that does
	// not report what it was ordered to, for example because it still loads.
	repeatEvery = 2 * time.Second
	// changingPart of the engines may change their version at once: 1 in 4.
	changingPart = 4
)

// Decide returns the engines that shall get the wanted order now.
//
// Each engine gets it once from each holder: that raises its fencing number,
// and covers what reports do not tell, the adapters and the role. From then on
// it gets the order whenever its report differs. Reports lag, so some orders
// are repeated needlessly; they are absolute, which makes that harmless. Only a part of the engines
// changes version at once, so that the others go on serving.
func Decide(engines []Engine, wanted upstream.Order, now time.Time) []ident.Instance {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	room := max(1, len(engines)/changingPart) - countChanging(engines, wanted)
	var due []ident.Instance
	for _, engine := range engines {
		switch {
		case equal(engine.Last, wanted):
			if !engine.follows(wanted) && now.Sub(engine.LastAt) >= repeatEvery {
				due = append(due, engine.ID)
			}
		case engine.at(wanted), engine.Version == "":
			due = append(due, engine.ID)
		case room > 0:
			room--
			due = append(due, engine.ID)
		}
	}
	return due
}

// countChanging counts the engines that load the wanted version.
func countChanging(engines []Engine, wanted upstream.Order) int {
	count := 0
	for _, engine := range engines {
		if equal(engine.Last, wanted) && !engine.at(wanted) && engine.Version != "" {
			count++
		}
	}
	return count
}

// equal reports whether two orders are the same, fence included.
func equal(a, b upstream.Order) bool {
	return a.Fence == b.Fence && a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(a.Adapters, b.Adapters)
}
