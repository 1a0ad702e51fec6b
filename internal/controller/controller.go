// Package controller is the process that makes the decisions for which a lease
// is needed: which upstreams to start and stop, and which model and version the
// engines run. One runs beside the gateway on each entry instance. Callers
// never wait for it.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/fleet"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/orders"
	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/operatorserver"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// closeTimeout bounds the last part of a stop, after the release of the leases.
// The platform's timeout bounds the release.
const closeTimeout = 500 * time.Millisecond

// statusPath serves the leases that this process knows.
const statusPath = "GET /status"

// Process is one controller process. Create it with New.
type Process struct {
	settings  *settings.Controller
	telemetry *telemetry.Telemetry
	log       hclog.Logger
	listener  net.Listener
	client    *http.Client
	platform  *connectplatform.Client
	dialer    *connectupstream.Dialer
	pool      *peer.Pool

	documents *blackboard.Section[*document.Set]
	health    *blackboard.Section[blackboard.ConfigurationHealth]
	listing   *blackboard.Section[blackboard.Listing]

	configuration *configuration.Controller
	leases        *lease.Manager
	orders        *orders.Controller
	fleet         *fleet.Controller
}

// New opens the operators' port and creates the parts. Run starts them.
func New(s *settings.Controller) (*Process, error) {
	t, err := telemetry.Setup(telemetryConfig(s))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen.Operators)
	if err != nil {
		return nil, errcode.Wrap(errcode.Unavailable, err, "listen on "+s.Listen.Operators)
	}
	p := &Process{settings: s, telemetry: t, log: t.Log, listener: listener}
	if err := p.wire(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return p, nil
}

func telemetryConfig(s *settings.Controller) telemetry.Config {
	return telemetry.Config{
		Program:       "controller",
		Instance:      s.Instance.ID,
		FailureDomain: s.Instance.FailureDomain,
		Region:        s.Instance.Region,
		LogLevel:      s.Log.Level,
		LogFormat:     string(s.Log.Format),
		TraceExporter: string(s.Trace.Exporter),
		TraceEndpoint: s.Trace.Endpoint,
	}
}

// Run runs the controllers until the stop signal or the first failure. Then it
// ends their rounds, releases its leases so that another process can take them
// over at once, and returns.
func (p *Process) Run(signals daemon.Signals, stdout io.Writer) error {
	rounds, endRounds := context.WithCancel(signals.Kill)
	defer endRounds()
	holding, endHolding := context.WithCancel(signals.Kill)
	defer endHolding()
	var roundsDone, holdingDone sync.WaitGroup
	failed := make(chan error, 1)

	server := p.operations()
	holdingDone.Go(func() { p.leases.Run(holding) })
	for _, loop := range p.loops() {
		roundsDone.Go(func() { reportFailure(failed, loop(rounds)) })
	}
	go func() { reportFailure(failed, server.Serve()) }()
	if err := p.announceListening(stdout); err != nil {
		return err
	}

	var err error
	select {
	case <-signals.Stop.Done():
		p.log.Info("stopping")
	case err = <-failed:
	}
	// The leases are released last, since no order may take effect after its
	// lease was released.
	endRounds()
	waitOrKill(&roundsDone, signals.Kill)
	endHolding()
	waitOrKill(&holdingDone, signals.Kill)
	return errors.Join(err, p.close(signals, server))
}

// loops returns the loops that have to end before the leases are released.
func (p *Process) loops() []func(context.Context) error {
	return []func(context.Context) error{
		p.configuration.Run,
		p.configuration.WriteSnapshots,
		p.runListReader,
		p.orders.Run,
		p.fleet.Run,
	}
}

// reportFailure sends a loop's error unless another was sent before. The end of
// the loop's context is no failure.
func reportFailure(failed chan<- error, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	select {
	case failed <- err:
	default:
	}
}

// waitOrKill waits for a group, or until the second signal.
func waitOrKill(group *sync.WaitGroup, kill context.Context) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-kill.Done():
	}
}

func (p *Process) close(signals daemon.Signals, server *operatorserver.Server) error {
	ctx, cancel := context.WithTimeout(signals.Kill, closeTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	if err := p.telemetry.Shutdown(ctx); err != nil {
		p.log.Warn("cannot flush trace spans", "error", err)
	}
	p.dialer.Close()
	p.pool.Close()
	p.client.CloseIdleConnections()
	p.log.Info("stopped")
	return signals.Kill.Err()
}

// listening is the line on stdout from which the program that started the process
// learns its address, including a port that the kernel chose.
type listening struct {
	Event     string         `json:"event"`
	Instance  ident.Instance `json:"instance"`
	Operators string         `json:"operators"`
}

func (p *Process) announceListening(stdout io.Writer) error {
	line := listening{Event: "listening", Instance: p.settings.Instance.ID, Operators: p.listener.Addr().String()}
	return errcode.Wrap(errcode.Internal, json.NewEncoder(stdout).Encode(line), "announce")
}

func (p *Process) operations() *operatorserver.Server {
	return operatorserver.New(operatorserver.Config{
		Listener: p.listener,
		Ready:    p.ready,
		Pprof:    p.settings.Listen.PProf,
		Handlers: map[string]http.Handler{statusPath: http.HandlerFunc(p.serveStatus)},
	})
}

// ready reports whether this process has what it needs for decisions, and if
// not, what it lacks.
func (p *Process) ready() (bool, string) {
	if health := p.health.Value(); !health.Ready {
		return false, "documents: " + health.Problem
	}
	if p.listing.Value().ReadAt.IsZero() {
		return false, "instance list: not read yet"
	}
	return true, ""
}
