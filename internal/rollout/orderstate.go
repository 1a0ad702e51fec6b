package rollout

import "time"

// Word is the state of an order that gateways exchange. Its fields only ever grow, so that
// states may arrive in any order and more than once.
type Word struct {
	Order Order
	// Age is the time since any gateway first heard of the order.
	Age   time.Duration
	Phase Phase
	// Confirmed is the time since the holder of the duties last confirmed the phase.
	Confirmed time.Duration
	// Stopped means that some gateway found the new version bad.
	Stopped bool
	// Settled counts the gateways that have no requests at the old version and send none there.
	Settled int
	Seen    Seen
}

// Aged returns a copy of the state with all ages increased.
func (w Word) Aged(by time.Duration) Word {
	w.Age += by
	w.Confirmed += by
	return w
}

// Join merges the states of one service's order from two groups of gateways. Of two different
// orders the later one prevails.
func (w Word) Join(o Word) Word {
	switch {
	case o.Order.Offset > w.Order.Offset:
		o.Seen = o.Seen.Clone()
		return o
	case o.Order.Offset < w.Order.Offset:
		return w
	}
	switch {
	case o.Phase > w.Phase:
		w.Phase, w.Confirmed = o.Phase, o.Confirmed
	case o.Phase == w.Phase:
		w.Confirmed = min(w.Confirmed, o.Confirmed)
	}
	w.Age = max(w.Age, o.Age)
	w.Stopped = w.Stopped || o.Stopped
	w.Settled += o.Settled
	seen := w.Seen.Clone()
	seen.Join(o.Seen)
	w.Seen = seen
	return w
}

// Words holds at most one state for each service.
type Words []Word

// Plus merges the states from two groups of gateways.
func (w Words) Plus(o Words) Words {
	out := append(Words(nil), w...)
	for _, next := range o {
		out = out.mergeState(next)
	}
	return out
}

func (w Words) mergeState(next Word) Words {
	for i := range w {
		if w[i].Order.Service == next.Order.Service {
			w[i] = w[i].Join(next)
			return w
		}
	}
	return append(w, next)
}

// Aged returns a copy of the states with all ages increased.
func (w Words) Aged(by time.Duration) Words {
	out := make(Words, len(w))
	for i := range w {
		out[i] = w[i].Aged(by)
	}
	return out
}
