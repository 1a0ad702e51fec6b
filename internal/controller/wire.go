package controller

import (
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/connend"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/fleet"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/orders"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// renewalsPerLease is how many times a lease is renewed within its length.
const renewalsPerLease = 3

// wire creates the parts. They exchange data through the blackboard's sections.
func (p *Process) wire() error {
	s := p.settings
	p.documents = blackboard.NewSection(&document.Set{})
	p.health = blackboard.NewSection(blackboard.ConfigurationHealth{Problem: "not read yet"})
	p.listing = blackboard.NewSection(blackboard.Listing{})
	answers := newAnswers(s, p.log)
	p.client = transport.NewClient(transport.Options{FreshConnections: true, RequireFrame: true, Answers: answers.Own})
	p.platform = connectplatform.NewClient(p.client, s.Platform.Address, transport.Gzip(answers.Own, "platform"))

	trusted, err := s.TLS.Upstream.ClientConfig()
	if err != nil {
		return err
	}
	p.dialer = connectupstream.NewDialer(trusted, answers.ForCallers)
	if p.pool, err = peer.NewPool(s.TLS.Peers.Files()); err != nil {
		return err
	}
	if err := p.wireLeases(); err != nil {
		return err
	}
	p.configuration = configuration.New(configuration.Options{
		Instance:  s.Instance.ID,
		Log:       p.platform,
		Documents: p.documents,
		Health:    p.health,
		Logger:    p.log,
		Snapshots: configuration.DefaultSnapshotPolicy.WithInterval(s.Control.SnapshotInterval),
	})
	p.wireControllers()
	return nil
}

// newAnswers returns the bounds of what answers make the process hold.
func newAnswers(s *settings.Controller, log hclog.Logger) answerbudget.Pair {
	ofUpstreams, own := membudget.Machine(s.Machine).Answers(connend.UnreadBytes)
	return answerbudget.NewPair(boottime.Now, log, ofUpstreams, own)
}

func (p *Process) wireLeases() error {
	s := p.settings
	config := lease.Config{
		Holder:      lease.NewHolder(s.Instance.ID, s.Instance.Incarnation),
		Length:      s.Control.Lease,
		Margin:      s.Control.Margin,
		RenewEvery:  s.Control.Lease / renewalsPerLease,
		Poll:        s.Control.Interval,
		CallTimeout: s.Platform.Timeout,
		Log:         p.log.Named("lease"),
	}
	if err := config.Check(); err != nil {
		return err
	}
	p.leases = lease.New(config, p.platform)
	return nil
}

func (p *Process) wireControllers() {
	s := p.settings
	p.orders = orders.New(
		orders.Config{Interval: s.Control.Interval, RequestTimeout: s.Control.Margin, MaxParallel: orders.DefaultMaxParallel},
		orders.Deps{
			Documents: p.documents,
			Listing:   p.listing,
			Leases:    p.leases,
			Dialer:    p.dialer,
			Weights:   p.platform,
			Log:       p.log.Named("orders"),
		})
	p.fleet = fleet.New(
		fleet.Config{
			Interval:       s.Control.Interval,
			LoadInterval:   fleet.DefaultLoadInterval,
			RequestTimeout: s.Control.Margin,
			MaxParallel:    fleet.DefaultMaxParallel,
			SlotsPerEngine: fleet.DefaultSlotsPerEngine,
			SlotsPerPlain:  fleet.DefaultSlotsPerPlain,
		},
		fleet.Deps{
			Documents: p.documents,
			Listing:   p.listing,
			Leases:    p.leases,
			Cloud:     p.platform,
			Dialer:    p.dialer,
			Gateways:  newGateways(s.Instance, p.pool, p.listing),
			Log:       p.log.Named("fleet"),
		})
}
