package rollout

import "time"

// OrderState is the state of an order that gateways exchange. Its fields only ever grow, so that
// states may arrive in any order and more than once.
type OrderState struct {
	Order Order
	// Age is the time since any gateway first heard of the order.
	Age   time.Duration
	Phase Phase
	// ConfirmedAge is the time since the holder of the duties last confirmed the phase.
	ConfirmedAge time.Duration
	// Stopped means that some gateway found the new version bad.
	Stopped bool
	// Settled counts the gateways that have no requests at the old version and send none there.
	Settled  int
	Evidence EvidenceByRoute
}

// Aged returns a copy of the state with all ages increased.
func (w OrderState) Aged(by time.Duration) OrderState {
	w.Age += by
	w.ConfirmedAge += by
	return w
}

// Merge merges the states of one service's order from two groups of gateways. Of two different
// orders the later one prevails.
func (w OrderState) Merge(o OrderState) OrderState {
	switch {
	case o.Order.Offset > w.Order.Offset:
		o.Evidence = o.Evidence.Clone()
		return o
	case o.Order.Offset < w.Order.Offset:
		return w
	}
	switch {
	case o.Phase > w.Phase:
		w.Phase, w.ConfirmedAge = o.Phase, o.ConfirmedAge
	case o.Phase == w.Phase:
		w.ConfirmedAge = min(w.ConfirmedAge, o.ConfirmedAge)
	}
	w.Age = max(w.Age, o.Age)
	w.Stopped = w.Stopped || o.Stopped
	w.Settled += o.Settled
	seen := w.Evidence.Clone()
	seen.Merge(o.Evidence)
	w.Evidence = seen
	return w
}

// OrderStates holds at most one state for each service.
type OrderStates []OrderState

// Merge merges the states from two groups of gateways.
func (w OrderStates) Merge(o OrderStates) OrderStates {
	out := append(OrderStates(nil), w...)
	for _, next := range o {
		out = out.mergeState(next)
	}
	return out
}

func (w OrderStates) mergeState(next OrderState) OrderStates {
	for i := range w {
		if w[i].Order.Service == next.Order.Service {
			w[i] = w[i].Merge(next)
			return w
		}
	}
	return append(w, next)
}

// Aged returns a copy of the states with all ages increased.
func (w OrderStates) Aged(by time.Duration) OrderStates {
	out := make(OrderStates, len(w))
	for i := range w {
		out[i] = w[i].Aged(by)
	}
	return out
}
