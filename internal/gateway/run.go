package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/gateway/peering"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/operatorserver"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
)

const (
	// shutdownReserve is the part of the stop time that is kept for answering callers,
	// closing listeners and flushing traces.
	shutdownReserve = 500 * time.Millisecond
	// reclaimMargin is how long before an announced reclaim the process has to have
	// stopped.
	reclaimMargin = time.Second
)

// Run serves until a stop signal or a reclaim notice arrives, then leaves gracefully.
// It returns early with an error if a part fails.
func (p *Process) Run(signals daemon.Signals, stdout io.Writer) error {
	membudget.Machine(p.settings.Machine).LimitGo()
	servers, err := p.servers()
	if err != nil {
		p.listeners.close()
		return err
	}
	// The loops keep running while the process leaves, because the hand-over and the
	// journal need them.
	loopsCtx, endLoops := context.WithCancel(context.Background())
	defer endLoops()
	failed := make(chan error, 1)
	loops := p.start(loopsCtx, servers, failed)
	if err := p.announce(stdout); err != nil {
		return err
	}
	limit, err := p.awaitStop(signals, failed)
	if err == nil {
		err = p.leave(signals, servers, limit)
	}
	endLoops()
	servers.close()
	loops.Wait()
	p.pool.Close()
	p.dialer.Close()
	return err
}

// servers are the servers behind the three listeners.
type servers struct {
	callers   *http.Server
	operators *operatorserver.Server
	peers     *peer.Server
	stopPeers context.CancelFunc
	// endRequests ends the contexts of all callers' requests, which then get their outcomes.
	endRequests context.CancelCauseFunc
}

func (p *Process) servers() (*servers, error) {
	peers, err := peer.NewServer(peer.Handlers{
		Heartbeats: p.members,
		Documents:  p.documents,
		Calls:      &peering.Local{Calls: p.calls, Streams: p.streams, Stopping: p.board.Stopping},
	}, p.settings.TLS.Peers.Files())
	if err != nil {
		return nil, err
	}
	callers := newCallersServer(p.handler, p.settings.Limits, p.memory)
	requests, endRequests := context.WithCancelCause(context.Background())
	callers.BaseContext = func(net.Listener) context.Context { return requests }
	return &servers{
		callers:     callers,
		endRequests: endRequests,
		peers:       peers,
		operators: operatorserver.New(operatorserver.Config{
			Listener: p.listeners.operators,
			Ready:    func() (bool, string) { return p.ready.check(time.Now()) },
			Pprof:    p.settings.Listen.PProf,
			Handlers: map[string]http.Handler{
				statusPath:  statusHandler(p.self, p.board, p.ready),
				explainPath: explainHandler(p.recorder),
			},
		}),
	}, nil
}

// start runs the servers and the controllers. The first error that occurs before ctx
// ends is sent to failed.
func (p *Process) start(ctx context.Context, s *servers, failed chan<- error) *sync.WaitGroup {
	var running sync.WaitGroup
	run := func(name string, work func() error) {
		running.Go(func() {
			err := work()
			if err == nil || ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
				return
			}
			select {
			case failed <- errcode.Wrap(errcode.Internal, err, name):
			default:
			}
		})
	}
	for name, loop := range p.controllerLoops() {
		run(name, func() error { return loop(ctx) })
	}
	var peersCtx context.Context
	peersCtx, s.stopPeers = context.WithCancel(ctx)
	run("callers", func() error { return p.serveCallers(s.callers) })
	run("peers", func() error { return s.peers.Serve(peersCtx, p.listeners.peers, shutdownReserve) })
	run("operators", s.operators.Serve)
	return &running
}

func (p *Process) serveCallers(server *http.Server) error {
	return serve(server, p.memory.Listener(p.listeners.callers), p.certificate)
}

// awaitStop waits for a stop signal, a reclaim notice or the failure of a part. It
// returns how long leaving may take.
func (p *Process) awaitStop(signals daemon.Signals, failed <-chan error) (time.Duration, error) {
	limit := p.settings.Limits.StopTimeout
	select {
	case <-signals.Stop.Done():
		p.log.Info("stopping", "cause", "signal", "limit", limit)
		return limit, nil
	case left := <-p.reclaimed:
		limit = min(limit, max(left-reclaimMargin, 0))
		p.log.Info("stopping", "cause", "reclaim notice", "limit", limit)
		return limit, nil
	case err := <-failed:
		return 0, err
	}
}

// leave stops gracefully: it accepts no new work, finishes or hands over the requests
// in progress and flushes the journal. Requests that are still in progress shutdownReserve
// before the limit get their outcomes then. A second signal ends this at once.
func (p *Process) leave(signals daemon.Signals, s *servers, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(signals.Kill, limit)
	defer cancel()
	p.board.Stopping.Publish(true)
	end := time.AfterFunc(max(limit-shutdownReserve, 0), func() {
		p.log.Info("answering the requests that are still in progress", "until_exit", shutdownReserve)
		s.endRequests(outcome.ErrLeaving)
	})
	defer end.Stop()
	var parts sync.WaitGroup
	var callsErr error
	parts.Go(func() {
		report := p.streams.Leave(ctx, max(limit-streamHandOverReserve-shutdownReserve, 0), p.peers.StreamPeers())
		p.log.Info("token streams handed over", "handed_over", report.HandedOver, "left", report.NotHandedOver)
	})
	parts.Go(func() { callsErr = p.calls.Stop(ctx) })
	parts.Wait()
	if callsErr != nil {
		p.log.Warn("cannot finish all calls before stopping", "error", callsErr)
	}
	if err := s.callers.Shutdown(ctx); err != nil {
		p.log.Warn("cannot answer all callers before stopping", "error", err)
	}
	p.streams.Close()
	return p.flush(signals)
}

// streamHandOverReserve is the part of the stop time that is kept for handing over
// unfinished streams.
const streamHandOverReserve = 2 * time.Second

// flush exports the remaining trace spans.
func (p *Process) flush(signals daemon.Signals) error {
	ctx, cancel := context.WithTimeout(signals.Kill, shutdownReserve)
	defer cancel()
	if err := p.telemetry.Shutdown(ctx); err != nil {
		p.log.Warn("cannot flush trace spans", "error", err)
	}
	p.log.Info("stopped")
	return signals.Kill.Err()
}

// close stops all servers.
func (s *servers) close() {
	s.stopPeers()
	_ = s.callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
}
