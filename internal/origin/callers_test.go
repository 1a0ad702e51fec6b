package origin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// pick returns a gateway that runs and that a caller reaches, in its domain first.
func (w *world) pick(domain ident.FailureDomain) *simGateway {
	var near, far []*simGateway
	for _, g := range w.gateways {
		if g.alive && !g.frozen && g.domain == domain {
			near = append(near, g)
		} else if g.alive && !g.frozen {
			far = append(far, g)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.IntN(len(near))]
}

// caller is a caller with one stream.
type caller struct {
	w        *world
	id       int
	domain   ident.FailureDomain
	first    ident.Request
	versions map[ident.SoftwareVersion]bool
	deadline time.Time
	// able: the stream could have gone on at a take-up since it broke off last.
	able bool
}

// run begins a stream, and takes it up each time that it breaks off.
func (c *caller) run() {
	c.versions = make(map[ident.SoftwareVersion]bool)
	c.domain = ident.FailureDomain(fmt.Sprint("d", c.w.rng.IntN(domains)))
	c.deadline = time.Now().Add(timeout)
	c.first = ident.Request(fmt.Sprint("c", c.id))
	g := c.w.pick(c.domain)
	if g == nil || len(g.view) == 0 {
		return
	}
	u, found := g.chooseForNew()
	if !found {
		c.w.notBegun++
		return
	}
	if c.w.way.byID {
		u = chosenByID(c.first, g.view)
	}
	c.w.streams++
	c.w.wait(50 * time.Millisecond) // the prompt is read
	if !g.alive {
		return
	}
	for attempt := 0; ; attempt++ {
		c.versions[u.SoftwareVersion] = true
		if !c.w.way.byID {
			g.registry.Began(Stream{"acct", c.first}, Origin{"svc", u.SoftwareVersion}, true, 2*timeout)
		}
		if !c.read(g, u) {
			break
		}
		if attempt == 0 {
			c.w.broken++
		}
		c.able = false
		g, u = c.goOn()
		if c.able {
			c.w.ableStreams++
		}
		if g == nil {
			if c.able {
				c.w.lost++
			}
			break
		}
	}
	if len(c.versions) > 1 {
		c.w.mixed++
	}
}

// chooseForNew returns an upstream for a new stream, once there is one.
func (g *simGateway) chooseForNew() (directory.Upstream, bool) {
	for range 200 {
		if u, found := g.choose(); found || !g.alive {
			return u, found
		}
		g.w.wait(10 * time.Millisecond)
	}
	return directory.Upstream{}, false
}

func (g *simGateway) choose() (directory.Upstream, bool) {
	taking := slices.DeleteFunc(slices.Clone(g.view), func(u directory.Upstream) bool { return g.w.full[u.SoftwareVersion] })
	if len(taking) == 0 {
		taking = g.view
	}
	list := slices.DeleteFunc(slices.Clone(taking), func(u directory.Upstream) bool { return g.registry.HoldsBack(u.Service, u.SoftwareVersion, time.Now()) })
	if len(list) == 0 {
		list = slices.DeleteFunc(slices.Clone(taking), func(u directory.Upstream) bool { return !g.registry.MayBegin(u.Service, u.SoftwareVersion) })
	}
	if len(list) == 0 {
		return directory.Upstream{}, false
	}
	return list[g.w.rng.IntN(len(list))], true
}

// read reads events until the stream is complete or breaks off, and reports whether it broke off.
func (c *caller) read(g *simGateway, u directory.Upstream) bool {
	rest := time.Duration(c.w.rng.ExpFloat64() * float64(4*time.Second))
	process, resets := g.ctx, c.w.resets
	for end := time.Now().Add(rest); time.Now().Before(end); {
		if !c.w.sleep(process, 50*time.Millisecond) {
			return true // its gateway was killed
		}
		if c.w.resets != resets {
			return true
		}
		if !slices.ContainsFunc(c.w.upstreams, func(x directory.Upstream) bool { return x.ID == u.ID }) || c.w.rng.IntN(400) == 0 {
			return true // its upstream is gone, or its connection was reset
		}
	}
	return false
}

// goOn takes the stream up, again after each refusal, and returns where it goes on; nil if it does not.
func (c *caller) goOn() (*simGateway, directory.Upstream) {
	w := c.w
	version := firstOf(c.versions)
	for range 4 {
		w.wait(5*time.Millisecond + time.Duration(w.rng.Int64N(int64(300*time.Millisecond))))
		if time.Now().After(c.deadline) {
			return nil, directory.Upstream{}
		}
		g := w.pick(c.domain)
		if g == nil {
			continue // no connection
		}
		began := time.Now()
		v, known := w.find(g, c.first)
		w.waited += time.Since(began)
		if !g.alive {
			continue
		}
		var fits []directory.Upstream
		able := false
		for _, u := range g.view {
			if !slices.ContainsFunc(w.upstreams, func(x directory.Upstream) bool { return x.ID == u.ID }) {
				continue
			}
			able = able || u.SoftwareVersion == version
			if known && u.SoftwareVersion == v || !known && w.way.guess {
				fits = append(fits, u)
			}
		}
		if !able {
			w.impossible++
		} else {
			w.able++
			c.able = true
		}
		if len(fits) == 0 {
			if able && !known {
				w.refusedUnknown++
			}
			continue
		}
		if able {
			w.wentOn++
		}
		return g, fits[w.rng.IntN(len(fits))]
	}
	return nil, directory.Upstream{}
}

// find returns the version that began a stream, as far as a gateway knows.
func (w *world) find(g *simGateway, first ident.Request) (ident.SoftwareVersion, bool) {
	if w.way.blind {
		return "", false
	}
	if w.way.byID {
		return chosenByID(first, g.view).SoftwareVersion, len(g.view) > 0
	}
	registry, ctx := g.registry, g.ctx
	var v Verdict
	w.unlocked(func() {
		v = registry.Find(ctx, Question{Stream: Stream{"acct", first}, Services: []ident.Service{"svc"}, Within: 2 * timeout})
	})
	return v.Origin.SoftwareVersion, v.Known()
}

func firstOf(set map[ident.SoftwareVersion]bool) ident.SoftwareVersion {
	for v := range set {
		return v
	}
	return ""
}

// chosenByID returns the upstream that a hash of an attempt's ID chooses.
func chosenByID(id ident.Request, list []directory.Upstream) directory.Upstream {
	if len(list) == 0 {
		return directory.Upstream{}
	}
	return list[xxhash.Sum64String(string(id))%uint64(len(list))]
}
