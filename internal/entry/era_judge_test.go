package entry

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// storeCalm reports whether the store has been back for a time.
func (p *eraPlay) storeCalm(d time.Duration) bool {
	p.store.mu.Lock()
	away := p.store.away
	p.store.mu.Unlock()
	return !away && (len(p.returns) == 0 || time.Since(p.returns[len(p.returns)-1]) >= d)
}

// judge checks what the gateways would decide by now.
func (p *eraPlay) judge() {
	now := time.Now()
	for _, g := range p.gateways {
		table, view := g.board.table.Value(), g.board.upstreams.Value()
		if table == nil {
			continue
		}
		if r := table.Revision(); r < g.highest {
			p.fail("%v: gateway %d went back from revision %d to %d", now.Sub(p.start), g.index, g.highest, r)
		} else {
			g.highest = r
		}
		if !g.inTouch(now) {
			continue
		}
		if late := now.Sub(p.revised.at); late > p.due() && p.storeCalm(p.due()) && !p.revised.lost && !p.revised.at.Before(p.awayAt) && int(table.Revision()) < p.revision {
			p.fail("%v: gateway %d has revision %d in force, %d was acknowledged %v before", now.Sub(p.start), g.index, table.Revision(), p.revision, late)
		}
		for name, u := range p.upstreams {
			p.judgeUpstream(g, view, name, u, now)
		}
	}
}

// judgeUpstream checks whether a gateway would send to an upstream that it must not send to, or would not to one
// that it must know.
func (p *eraPlay) judgeUpstream(g *playGateway, view *directory.View, name string, u *playUpstream, now time.Time) {
	shown, listed := view.Upstream(ident.Instance(name))
	used := listed && shown.State == directory.Ready
	since := now.Sub(u.at)
	if u.lost || since <= p.due() || !p.known(g, u) {
		return
	}
	// Within two seconds of the store's return, a drop may be of an entry that could not be renewed.
	grace := len(p.returns) > 0 && now.Sub(p.returns[len(p.returns)-1]) < 2*time.Second+p.due()
	switch {
	case u.state == "leaving" && used:
		p.fail("%v: gateway %d sends to %s, which has left %v before", now.Sub(p.start), g.index, name, since)
	case u.state == "gone" && used && !grace:
		p.fail("%v: gateway %d sends to %s, which is gone since %v", now.Sub(p.start), g.index, name, since)
	case u.state == "ready" && !used && p.storeCalm(p.backWithin(u)+p.due()):
		p.fail("%v: gateway %d does not use %s, which is there since %v", now.Sub(p.start), g.index, name, since)
	}
}

// backWithin is how long after the store's return an upstream may be out of use: one that lapsed and whose new record
// may be one of the copy, until it must be a dead one's.
func (p *eraPlay) backWithin(u *playUpstream) time.Duration {
	if u.writtenAgain {
		return 3*playRenewal + time.Second
	}
	return 2 * time.Second
}

// due is the time within which changes must be followed now: half of what the users allow, and all of it while the
// gateways that read the store for the others, or collect, are disturbed too.
func (p *eraPlay) due() time.Duration {
	for _, g := range p.gateways[:min(len(p.gateways), collectors)] {
		if now := time.Now(); now.Before(g.cutStore.Add(p.playDue)) || now.Before(g.disturbedUntil) {
			return p.playDue
		}
	}
	return p.playDue / 2
}

// known reports whether a gateway must know what an upstream says: it, or one that it hears, has been there since
// before that, or it was acknowledged since the store came back.
func (p *eraPlay) known(g *playGateway, u *playUpstream) bool {
	if len(p.returns) == 0 || !u.at.Before(p.awayAt) || p.unheard(u.at) {
		return p.storeCalm(p.due())
	}
	for _, other := range p.gateways {
		if other.started.Before(u.at) && (other == g || g.hears(other)) && !time.Now().Before(other.disturbedUntil) {
			return true
		}
	}
	return p.storeCalm(3*playRenewal + p.playDue)
}
