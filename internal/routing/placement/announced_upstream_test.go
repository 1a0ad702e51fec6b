package placement

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// pausing describes upstreams that turn requests away and ask for a pause of a length.
type pausing struct {
	upstreams []int
	from, to  time.Duration
	length    time.Duration
	// gateways are those that are asked, as a share of all; 0 means all.
	gateways float64
	// everySecond: only every second refusal asks for a pause.
	everySecond bool
}

type fleetUpstream struct {
	i, domain int
	born      int
	id        ident.Instance
	running   int
	queue     []func()
	// rejectedAt lists when it had no room for a request, and downUntil is when it is back after it
	// fell over, for the falls-th time.
	rejectedAt []time.Duration
	downUntil  time.Duration
	falls      int
	// turnedAway counts the requests that it turned away.
	turnedAway int
	// arrivals are the times of all requests that reached it.
	arrivals []time.Duration
	// toldAt is when it first told any gateway that it leaves; negative if it has not.
	toldAt time.Duration
}

// start begins a life of the upstream.
func (u *fleetUpstream) start() {
	u.born++
	u.id = ident.Instance(fmt.Sprintf("u%03d/%d", u.i, u.born))
	u.running, u.queue, u.toldAt = 0, nil, -1
}

// upstreamOf returns the upstream whose present life has an ID, or nil.
func (f *announcedFleet) upstreamOf(id ident.Instance) *fleetUpstream {
	i, err := strconv.Atoi(string(id[1:4]))
	if err != nil || f.upstreams[i].id != id {
		return nil
	}
	return f.upstreams[i]
}

// leaving reports whether an upstream says now that it leaves.
func (f *announcedFleet) leaving(u *fleetUpstream) bool {
	at, leaves := f.story.leaves[u.i]
	return leaves && u.born == 1 && f.Now() >= at
}

// refuses reports whether an upstream turns a gateway's requests away now, and the pause that it
// asks for.
func (f *announcedFleet) refuses(u *fleetUpstream, g *fleetGateway) (bool, time.Duration) {
	for _, p := range f.story.pauses {
		asked := p.gateways == 0 || float64(g.i) < p.gateways*float64(f.story.gateways)
		if !asked || f.Now() < p.from || f.Now() >= p.to || !slices.Contains(p.upstreams, u.i) {
			continue
		}
		if p.everySecond && u.turnedAway%2 == 1 {
			return true, 0
		}
		return true, p.length
	}
	return false, 0
}

// takesNothing reports whether an upstream leaves or turns a gateway's requests away now.
func (f *announcedFleet) takesNothing(u *fleetUpstream, g *fleetGateway) bool {
	refuses, _ := f.refuses(u, g)
	return refuses || f.leaving(u)
}

// receive lets a request arrive at an upstream.
func (f *announcedFleet) receive(u *fleetUpstream, r *fleetRequest, choice forward.Choice, delay time.Duration) {
	u.arrivals = append(u.arrivals, f.Now())
	born, falls := u.born, u.falls
	refuses, pause := f.refuses(u, r.g)
	switch {
	case refuses:
		u.turnedAway++
		f.result.turnedAway++
		f.answer(u, r, choice, delay, announced.Statement{Pause: pause}, true)
	case u.running+len(u.queue) >= f.room():
		f.answer(u, r, choice, delay, announced.Statement{}, true)
		f.rejected(u)
	default:
		work := time.Duration((0.5 + 0.5*f.rng.ExpFloat64()) * float64(serviceTime))
		if slices.Contains(f.story.slow, u.i) && f.Now() >= statementAt {
			work *= fleetSlowFactor
		}
		run := func() {
			f.In(work, func() {
				if u.born != born {
					return
				}
				if u.falls != falls {
					f.In(delay, func() { r.after(choice, forward.Broken) })
					return
				}
				f.answer(u, r, choice, delay, announced.Statement{}, false)
				u.running--
				if len(u.queue) > 0 {
					next := u.queue[0]
					u.queue = u.queue[1:]
					u.running++
					next()
				}
			})
		}
		if u.running >= f.story.slots {
			u.queue = append(u.queue, run)
			return
		}
		u.running++
		run()
	}
}

// answer sends an upstream's answer, with what the upstream announces at that moment.
func (f *announcedFleet) answer(u *fleetUpstream, r *fleetRequest, choice forward.Choice, delay time.Duration, s announced.Statement, notRun bool) {
	at, leaves := f.story.leaves[u.i]
	s.Leaving = leaves && f.leaving(u) && (f.story.withdrawnAfter == 0 || f.Now() < at+f.story.withdrawnAfter)
	if s.Leaving && u.toldAt < 0 {
		u.toldAt = f.Now()
	}
	if rate, limited := f.story.limits[u.i]; limited && f.Now() >= statementAt {
		s.Limit = upstreamlimit.LimitedTo(rate)
	}
	s.Rejected = notRun
	if f.brittle() {
		s.Brittle = announced.Brittle{Is: true, Rejections: f.story.brittle}
	}
	f.In(delay, func() { r.readAnswer(choice, s, notRun) })
}

// brittle reports whether the upstreams say now that they are brittle.
func (f *announcedFleet) brittle() bool {
	return f.story.brittle > 0 && f.Now() >= statementAt && f.Now() < brittleTo
}

// room returns how many requests an upstream takes now.
func (f *announcedFleet) room() int {
	if f.brittle() && f.Now() >= brittleShrinks {
		if f.story.bearsHalf {
			return f.story.slots / 2
		}
		return f.story.slots
	}
	return f.story.slots * (1 + queuePerSlot)
}

// rejected lets a brittle upstream fall over that rejected too many requests in a second.
func (f *announcedFleet) rejected(u *fleetUpstream) {
	if !f.brittle() {
		return
	}
	u.rejectedAt = append(slices.DeleteFunc(u.rejectedAt, func(at time.Duration) bool { return f.Now()-at > time.Second }), f.Now())
	if len(u.rejectedAt) > f.story.brittle {
		u.falls++
		f.result.falls++
		u.running, u.queue, u.rejectedAt = 0, nil, nil
		u.downUntil = f.Now() + fallTime
	}
}

// gone reports whether an upstream refuses connections now.
func (f *announcedFleet) gone(u *fleetUpstream) bool {
	at, leaves := f.story.leaves[u.i]
	return f.Now() < u.downUntil || leaves && f.story.goneAfter > 0 && u.born == 1 && f.Now() >= at+f.story.goneAfter
}

// arrivalsIn counts the requests that arrived in a span.
func (u *fleetUpstream) arrivalsIn(from, to time.Duration) int {
	n := 0
	for _, at := range u.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// backAfter returns the time from the end of an upstream's refusals until it has half of its usual
// requests in a second.
func (u *fleetUpstream) backAfter(end time.Duration) time.Duration {
	usual := float64(u.arrivalsIn(4*time.Second, statementAt)) / (statementAt - 4*time.Second).Seconds()
	for at := end; at+time.Second < storyTime; at += 100 * time.Millisecond {
		if float64(u.arrivalsIn(at, at+time.Second)) >= usual/2 {
			return at - end
		}
	}
	return storyTime - end
}
