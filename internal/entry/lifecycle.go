package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/operatorserver"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// platformNoticeTime is how long the platform may still send new connections to a
	// gateway that is not ready: it checks readiness twice, a second apart, and then needs
	// time to act.
	platformNoticeTime = 3 * time.Second
	// acceptStreamsFor is how long a leaving gateway still accepts streams: by then the
	// platform stops sending new connections, and a stream that began until then has most
	// of the grace period to end.
	acceptStreamsFor = 2800 * time.Millisecond
	// closeIdleAfter is how long after it began to leave a gateway closes idle
	// connections: the next requests on them would have to be refused.
	closeIdleAfter = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left for the last steps.
	stopMargin = 700 * time.Millisecond
	// stopPollInterval is how often a leaving process checks whether its connections are
	// closed.
	stopPollInterval = 50 * time.Millisecond
)

// readiness reports whether callers should be sent to this gateway, and if not, the reason:
// a configuration and at least one upstream must be known, and the process must not be
// leaving.
func (p *Process) readiness() (ready bool, reason string) {
	switch {
	case p.leaving.Load():
		return false, "leaving"
	case p.table() == nil:
		return false, "no configuration is known yet"
	case p.board.upstreams.Value().Count() == 0:
		return false, "no upstream is known yet"
	}
	return true, ""
}

// newReadinessServer returns the server for the platform's readiness checks.
func (p *Process) newReadinessServer() *http.Server {
	return &http.Server{
		ReadHeaderTimeout: time.Second,
		ErrorLog:          p.log.Named("readiness").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if ready, _ := p.readiness(); !ready {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusOK)
		}),
	}
}

// metricsPath is the path of the metrics on the operators' server.
const metricsPath = "/metrics"

// newOperatorsServer returns the server for operators. It serves the metrics, the barred
// requests, what upstreams announced, liveness, and readiness with its reason.
func (p *Process) newOperatorsServer(listener net.Listener) *operatorserver.Server {
	handlers := p.barredHandlers()
	handlers["GET "+limitedPath] = http.HandlerFunc(p.listLimited)
	handlers["GET "+announcedPath] = http.HandlerFunc(p.listAnnounced)
	handlers["GET "+metricsPath] = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { p.writeMetrics(w) })
	return operatorserver.New(operatorserver.Config{Listener: listener, Ready: p.readiness, Handlers: handlers})
}

// writeMetrics prints the metrics as text, one per line.
func (p *Process) writeMetrics(w io.Writer) {
	p.metrics.Write(w)
	c := p.pool.Counters()
	fmt.Fprintf(w, "connections_dialled_total %d\nconnections_failed_total %d\nconnections_reused_total %d\nconnections_closed_total %d\nanswers_stray_total %d\n",
		c.Dials, c.DialFailures, c.Reuses, c.Discards, c.ClosedUnmatched)
	made, failed := p.ports.StoreCalls()
	fmt.Fprintf(w, "store_calls_total %d\nstore_calls_failed_total %d\n", made, failed)
	fmt.Fprintf(w, "store_era %d\n", p.storeEra())
	lines, dropped := p.logWriter.Counts()
	fmt.Fprintf(w, "log_lines_total %d\nlog_lines_dropped_total %d\n", lines, dropped)
	next, age := p.upstreams.state()
	upstreamsEra, offset, _ := next.Parts()
	fmt.Fprintf(w, "upstreams_era %d\nupstreams_offset %d\nupstreams_kept_against_copy %d\nupstreams_age_seconds %.3f\nupstreams_known %d\n", upstreamsEra, offset, p.upstreams.keptEntries(), age.Seconds(), p.board.upstreams.Value().Count())
	if table := p.table(); table != nil {
		fmt.Fprintf(w, "configuration_revision %d\n", table.Revision())
		p.writeEngineMetrics(w, table)
	}
	for _, o := range p.rollouts.Orders() {
		fmt.Fprintf(w, "rollout_phase{service=%q,to=%q,phase=%q} %d\nrollout_requests{service=%q} %d\nrollout_requests_new{service=%q} %d\nrollout_answers_new{service=%q} %d\nrollout_evidence_against{service=%q} %.3g\n",
			o.Order.Service, o.Order.To, o.Phase.String(), o.Phase, o.Order.Service, o.Sent, o.Order.Service, o.Exposed,
			o.Order.Service, o.Verdict.Answers, o.Order.Service, o.Verdict.Against)
	}
	p.room.WriteMetrics(w)
	p.writePoisonMetrics(w)
	p.writeLimitMetrics(w)
	p.writeLendingMetrics(w)
	p.writeRetryMetrics(w)
	p.writeSlotMetrics(w)
	p.writeAnnouncedMetrics(w)
	p.writeNetworkMetrics(w)
	p.writeSpeedMetrics(w)
	p.writeOriginMetrics(w)
	p.memory.WriteMetrics(w)
	p.answers.WriteMetrics(w)
	v := p.view.Load()
	fmt.Fprintf(w, "gateways_heard %d\ngateways_known %d\nclock_correction_seconds %.3f\n", v.Heard, v.Known, v.WallCorrection.Seconds())
	fmt.Fprintf(w, "gateways_reports_age_seconds %.3f\n", v.age(p.now()).Seconds())
	work := p.gossip.CollectorStats()
	fmt.Fprintf(w, "collector_reports_total %d\ncollector_sums_total %d\ncollector_sum_parts_total %d\ncollector_answers_refused_total %d\n",
		work.Reports, work.Sums, work.Parts, work.RejectedAnswers)
	fmt.Fprintf(w, "requests_active %d\ngossip_bytes_total %d\n", p.callers.Active(), p.gossip.Bytes())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Fprintf(w, "memory_heap_bytes %d\nmemory_system_bytes %d\ngoroutines %d\n", m.HeapAlloc, m.Sys, runtime.NumGoroutine())
}

// writeEngineMetrics prints the estimated speed of each service's engines.
func (p *Process) writeEngineMetrics(w io.Writer, table *routetable.Table) {
	for _, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		f := p.chooser.EngineEstimate(s.Name, p.now())
		fmt.Fprintf(w, "engine_tokens_per_second{service=%q} %.0f\nengine_base_seconds{service=%q} %.4f\nengine_running_seconds{service=%q} %.5f\nengine_samples{service=%q} %.0f\n",
			s.Name, f.Rate(), s.Name, f.Base.Seconds(), s.Name, f.SecondsPerRunning, s.Name, f.Samples)
	}
}

// leave drains the callers' server: callers are asked to go to other gateways, requests in
// progress are finished, and then the connections are closed. What is still running at the
// end of the grace period or at signals.Kill is cut off.
func (p *Process) leave(ctx context.Context, signals daemon.Signals) {
	start := p.now()
	p.leaving.Store(true)
	p.gossip.Leave()
	end := start.Add(p.settings.Stop.Grace - stopMargin)
	p.callers.Leave(start.Add(acceptStreamsFor), end)
	p.log.Info("leaving", "active", p.callers.Active(), "grace_ms", p.settings.Stop.Grace.Milliseconds())
	go p.gossip.Announce(ctx)
	for now := p.now(); now.Before(end); now = p.now() {
		left := 1
		if now.Sub(start) >= closeIdleAfter {
			left = p.callers.CloseIdle() + p.relays.Active()
		}
		if left == 0 && now.Sub(start) >= platformNoticeTime || !sleep.For(signals.Kill, stopPollInterval) {
			break
		}
	}
	p.endCalls(signals)
	p.log.Info("closing", "active", p.callers.Active(), "after_ms", p.now().Sub(start).Milliseconds())
	if err := p.callers.Close(); err != nil {
		p.log.Warn("cannot close callers' connections", "error", err)
	}
}

// finalAnswersTime bounds how long the final answers of calls may take that are in progress when
// the callers' server closes.
const finalAnswersTime = 100 * time.Millisecond

// endCalls gives the calls in progress their final answers.
func (p *Process) endCalls(signals daemon.Signals) {
	p.callers.EndCalls()
	for end := p.now().Add(finalAnswersTime); p.callers.CloseIdle() > 0 && p.now().Before(end); {
		if !sleep.For(signals.Kill, endCallsPollInterval) {
			return
		}
	}
}

// endCallsPollInterval is how often the calls in progress are counted at the end.
const endCallsPollInterval = 10 * time.Millisecond

// flushSpans sends the spans that are still buffered, within half of stopMargin.
func (p *Process) flushSpans() {
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	if err := p.tracing.Shutdown(ctx); err != nil {
		p.log.Warn("cannot flush trace spans", "error", err)
	}
}

// reloadSettings reads the settings file again and adds its seeds to the known peers.
func (p *Process) reloadSettings() {
	next, findings := settings.LoadEntry(p.settings.Path)
	if err := findings.Err(); err != nil {
		p.log.Error("settings not usable, the last ones stay", "findings", err)
		return
	}
	p.peers.AddSeeds(next.Peers.Seeds)
	p.log.Info("settings reloaded", "seeds", next.Peers.Seeds)
}
