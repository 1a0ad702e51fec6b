package slotlease

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxAsks bounds the asks of one part that this gateway holds open at once, also those that are just being
// answered.
const maxAsks = 1024

// ServerConfig configures a Server. All fields are required.
type ServerConfig struct {
	Now boottime.Clock
	Log hclog.Logger
	// View returns the current upstreams.
	View func() *directory.View
	// InProgress returns how many requests the gateways reported to have at an upstream.
	InProgress func(ident.Instance) int
	// Work returns the mean time that a service's requests take in a slot; 0 if it isn't known.
	Work func(ident.Service) time.Duration
	// KnowsAccount reports whether an account is configured.
	KnowsAccount func(ident.ClientAccount) bool
	// Keeps reports whether this gateway may keep slots for others; it may not while it leaves.
	Keeps func() bool
}

// Server runs the keepers of this gateway and answers the other gateways' asks. It is safe for concurrent use.
type Server struct {
	cfg ServerConfig

	mu    sync.Mutex
	parts map[partID]*keptPart
	// sweptAt is when the accounts were last looked through.
	sweptAt time.Time
	// granted and refused count answers since the start.
	granted, refused int64
}

// keptPart is a part of a service's upstreams that this gateway keeps.
type keptPart struct {
	id     partID
	keeper *Keeper
	// view is the one from which the keeper has its upstreams.
	view *directory.View
	// answers get the decisions on the asks that wait.
	answers map[LeaseID]chan Answer
	timer   *time.Timer
	// askedAt is when the last ask arrived.
	askedAt time.Time
}

// NewServer returns a Server that keeps nothing yet.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, parts: make(map[partID]*keptPart)}
}

// Serve answers an encoded message of another gateway. It returns when the ask in it is decided or ctx ends.
func (s *Server) Serve(ctx context.Context, data []byte) ([]byte, error) {
	m, err := decodeMessage(data)
	if err != nil {
		return nil, err
	}
	for _, number := range m.returned {
		s.Return(m.part, LeaseID{m.gateway, number})
	}
	for _, number := range m.unfinished {
		s.Withdraw(m.part, LeaseID{m.gateway, number})
	}
	for _, number := range m.failed {
		s.Fail(m.part, LeaseID{m.gateway, number})
	}
	if m.ask == nil {
		return encodeAnswer(Answer{}, false)
	}
	answer, err := s.Ask(ctx, m.part, *m.ask)
	return encodeAnswer(answer, err != nil)
}

// Ask decides on an ask, after a wait if need be. It returns errNotKeeper if this gateway keeps no slots of the
// part, and the cause of ctx if that ends first; the ask is withdrawn then.
func (s *Server) Ask(ctx context.Context, part partID, a Ask) (Answer, error) {
	answers, err := s.begin(part, a)
	if err != nil {
		return Answer{}, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		s.Withdraw(part, a.ID)
		return Answer{}, context.Cause(ctx)
	}
}

// begin gives an ask to its keeper and returns the channel that gets the answer.
func (s *Server) begin(part partID, a Ask) (<-chan Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(part)
	if p == nil || len(p.answers) >= maxAsks {
		return nil, errNotKeeper
	}
	answers := make(chan Answer, 1)
	p.answers[a.ID] = answers
	p.askedAt = s.cfg.Now()
	s.deliver(p, p.keeper.Ask(a, p.askedAt))
	return answers, nil
}

// Return takes a lease back whose request has ended.
func (s *Server) Return(part partID, id LeaseID) { s.end(part, id, (*Keeper).Return) }

// Withdraw withdraws an ask, or takes a lease back for which no request ran to its end.
func (s *Server) Withdraw(part partID, id LeaseID) { s.end(part, id, (*Keeper).Withdraw) }

// Fail is Return for a lease whose upstream failed or refused the attempt.
func (s *Server) Fail(part partID, id LeaseID) { s.end(part, id, (*Keeper).Fail) }

func (s *Server) end(part partID, id LeaseID, end func(*Keeper, LeaseID, time.Time) []Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[part]; p != nil {
		delete(p.answers, id)
		s.deliver(p, end(p.keeper, id, s.cfg.Now()))
	}
}

// unusedTimeout is how long a gateway goes on keeping a part that it is not asked for.
const unusedTimeout = 5 * time.Second

// Refresh applies the current upstreams to what this gateway keeps, and drops what is no longer used.
func (s *Server) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	sweeps := now.Sub(s.sweptAt) > unusedTimeout
	if sweeps {
		s.sweptAt = now
	}
	for id, p := range s.parts {
		s.refresh(p)
		if sweeps {
			p.keeper.KeepAccounts(s.cfg.KnowsAccount)
		}
		if p.keeper.Idle() && now.Sub(p.askedAt) > unusedTimeout {
			delete(s.parts, id)
			s.cfg.Log.Info("keeps the slots of a service's upstreams no longer", "service", id.service, "part", id.number)
		}
	}
}

// part returns a part that this gateway keeps, from now on if it didn't; nil if it has no upstreams.
func (s *Server) part(id partID) *keptPart {
	if !s.cfg.Keeps() {
		return nil
	}
	if p := s.parts[id]; p != nil {
		s.refresh(p)
		return p
	}
	view := s.cfg.View()
	upstreams := upstreamsOf(id, view.Of(id.service))
	if len(upstreams) == 0 {
		return nil
	}
	p := &keptPart{id: id, keeper: NewKeeper(upstreams, s.cfg.InProgress, s.cfg.Work(id.service), s.cfg.Now()), view: view, answers: make(map[LeaseID]chan Answer)}
	s.parts[id] = p
	s.cfg.Log.Info("keeps the slots of a service's upstreams", "service", id.service, "part", id.number, "upstreams", len(upstreams))
	return p
}

// refresh applies the current upstreams to a part.
func (s *Server) refresh(p *keptPart) {
	if view := s.cfg.View(); view != p.view {
		p.view = view
		s.deliver(p, p.keeper.SetUpstreams(upstreamsOf(p.id, view.Of(p.id.service)), s.cfg.Now()))
	}
}

// deliver hands out decisions and sets the timer for the next ones.
func (s *Server) deliver(p *keptPart, decided []Decision) {
	for _, d := range decided {
		if d.Answer.Upstream == "" {
			s.refused++
		} else {
			s.granted++
		}
		if answers := p.answers[d.ID]; answers != nil {
			delete(p.answers, d.ID)
			answers <- d.Answer
		}
	}
	now := s.cfg.Now()
	next, waits := p.keeper.NextTick(now)
	if p.timer != nil {
		p.timer.Stop()
	}
	if waits {
		p.timer = time.AfterFunc(next.Sub(now), func() { s.tick(p) })
	}
}

// tick lets a keeper decide what its time has come for.
func (s *Server) tick(p *keptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(p)
	s.deliver(p, p.keeper.Tick(s.cfg.Now()))
}

// ServerCounters tell what a Server does.
type ServerCounters struct {
	// Parts, Leases and Waiting are how many parts, leases and waiting asks there are now.
	Parts, Leases, Waiting int
	// Granted and Refused count the answers since the start.
	Granted, Refused int64
}

// Counters returns what the Server does.
func (s *Server) Counters() ServerCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := ServerCounters{Parts: len(s.parts), Granted: s.granted, Refused: s.refused}
	for _, p := range s.parts {
		c.Leases += len(p.keeper.leases)
		c.Waiting += len(p.keeper.waiters)
	}
	return c
}
