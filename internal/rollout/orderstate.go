package rollout

import "time"

// OrderState is the state of an order that gateways exchange. Its fields only ever grow, so that
// states may arrive in any order and more than once.
type OrderState struct {
	Order Order
	// Age is the time since a gateway first received the order.
	Age   time.Duration
	Phase Phase
	// ConfirmedAge is the time since the holder of the lease last confirmed the phase.
	ConfirmedAge time.Duration
	// Stopped means that some gateway found the new version bad.
	Stopped bool
	// Settled counts the gateways that have no requests at the old version and send none there.
	Settled  int
	Evidence EvidenceByRoute
}

// Aged returns a copy of the state with all ages increased.
func (s OrderState) Aged(by time.Duration) OrderState {
	s.Age += by
	s.ConfirmedAge += by
	return s
}

// Merge merges the states of one service's order from two groups of gateways. Of two different
// orders the later one prevails.
func (s OrderState) Merge(o OrderState) OrderState {
	switch {
	case o.Order.At.After(s.Order.At):
		o.Evidence = o.Evidence.Clone()
		return o
	case o.Order.At.Before(s.Order.At):
		return s
	}
	switch {
	case o.Phase > s.Phase:
		s.Phase, s.ConfirmedAge = o.Phase, o.ConfirmedAge
	case o.Phase == s.Phase:
		s.ConfirmedAge = min(s.ConfirmedAge, o.ConfirmedAge)
	}
	s.Age = max(s.Age, o.Age)
	s.Stopped = s.Stopped || o.Stopped
	s.Settled += o.Settled
	evidence := s.Evidence.Clone()
	evidence.Merge(o.Evidence)
	s.Evidence = evidence
	return s
}

// OrderStates holds at most one state for each service.
type OrderStates []OrderState

// Merge merges the states from two groups of gateways.
func (s OrderStates) Merge(o OrderStates) OrderStates {
	out := append(OrderStates(nil), s...)
	for _, next := range o {
		out = out.mergeState(next)
	}
	return out
}

func (s OrderStates) mergeState(next OrderState) OrderStates {
	for i := range s {
		if s[i].Order.Service == next.Order.Service {
			s[i] = s[i].Merge(next)
			return s
		}
	}
	return append(s, next)
}

// Aged returns a copy of the states with all ages increased.
func (s OrderStates) Aged(by time.Duration) OrderStates {
	out := make(OrderStates, len(s))
	for i := range s {
		out[i] = s[i].Aged(by)
	}
	return out
}
