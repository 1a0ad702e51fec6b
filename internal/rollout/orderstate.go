package rollout

import "time"

// Word is what gateways tell each other of an order. All of it only grows, so that words
// may come in any order and more than once.
type Word struct {
	Order Order
	// Age is how long ago the order was first heard.
	Age   time.Duration
	Phase Phase
	// Confirmed is how long ago the holder of the duties was in this phase.
	Confirmed time.Duration
	// Stopped: a gateway found the version to be bad.
	Stopped bool
	// Settled counts gateways that have nothing at the old version and send nothing there.
	Settled int
	Seen    Seen
}

// Aged returns the word as of some time later.
func (w Word) Aged(by time.Duration) Word {
	w.Age += by
	w.Confirmed += by
	return w
}

// Join returns the words of two groups of gateways as one. Of two orders of a service the
// later one stays.
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

// Words are those of several services.
type Words []Word

// Plus returns the words of two groups of gateways as one list.
func (w Words) Plus(o Words) Words {
	out := append(Words(nil), w...)
	for _, next := range o {
		out = out.merge(next)
	}
	return out
}

func (w Words) merge(next Word) Words {
	for i := range w {
		if w[i].Order.Service == next.Order.Service {
			w[i] = w[i].Join(next)
			return w
		}
	}
	return append(w, next)
}

// Aged returns the words as of some time later.
func (w Words) Aged(by time.Duration) Words {
	out := make(Words, len(w))
	for i := range w {
		out[i] = w[i].Aged(by)
	}
	return out
}
