// Package gateway is the process that callers connect to. It admits, routes and retries
// requests, streams answers, and hands its unfinished requests over to other gateways
// when it leaves. Its parts share their state on the blackboard; this package creates
// and connects them.
package gateway

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/auth"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/gateway/peering"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// platformSource names the platform among the sources of answers.
const platformSource ident.Instance = "platform"

// maxExplainEvents is the number of attempts and endings that a gateway keeps for
// operators who ask about a request.
const maxExplainEvents = 4096

// listeningEvent is the JSON line on stdout by which the program that started this
// process learns which ports the kernel chose.
type listeningEvent struct {
	Event     string         `json:"event"`
	Instance  ident.Instance `json:"instance"`
	Callers   string         `json:"callers"`
	Peers     string         `json:"peers"`
	Operators string         `json:"operators"`
}

// Process is one gateway. Create it with New.
type Process struct {
	settings  *settings.Gateway
	self      platform.Instance
	board     *blackboard.Board
	telemetry *telemetry.Telemetry
	log       hclog.Logger
	tracer    trace.Tracer
	listeners listeners
	platform  *connectplatform.Client
	dialer    *connectupstream.Dialer
	pool      *peer.Pool
	notices   *noticeBoard
	recorder  *explain.Recorder
	admission *admission.Controller
	memory    *membudget.Budget
	answers   answerbudget.Pair
	members   *membership.Controller
	documents *configuration.Controller
	calls     *calls.Coordinator
	streams   *streaming.Registry
	peers     *peering.Peers
	handler   *handler
	ready     *readiness
	// reclaimed receives the time within which the process has to leave, because its
	// instance is to be reclaimed or is reported as leaving.
	reclaimed chan time.Duration
	// certificate is presented to callers; nil serves plaintext.
	certificate *certificate.Reloader
}

// listeners are a gateway's open listeners.
type listeners struct{ callers, peers, operators net.Listener }

func listen(addresses settings.GatewayListen, log hclog.Logger) (listeners, error) {
	var l listeners
	plain := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	bounded := func(address string) (net.Listener, error) { return membudget.Listen(address, log) }
	for _, side := range []struct {
		address string
		into    *net.Listener
		open    func(address string) (net.Listener, error)
	}{
		{addresses.Callers, &l.callers, bounded},
		{addresses.Peers, &l.peers, plain},
		{addresses.Operators, &l.operators, plain},
	} {
		opened, err := side.open(side.address)
		if err != nil {
			l.close()
			return listeners{}, errcode.Wrap(errcode.Unavailable, err, "listen on "+side.address)
		}
		*side.into = opened
	}
	return l, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.peers, l.operators} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}

// New opens the listeners and connects the gateway's parts. Run starts them.
func New(s *settings.Gateway) (*Process, error) {
	t, err := telemetry.Setup(telemetryConfig(s))
	if err != nil {
		return nil, err
	}
	opened, err := listen(s.Listen, t.Log)
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings:  s,
		board:     blackboard.NewBoard(),
		telemetry: t,
		log:       t.Log,
		tracer:    t.Tracer,
		listeners: opened,
		notices:   newNoticeBoard(),
		recorder:  explain.NewRecorder(maxExplainEvents),
		reclaimed: make(chan time.Duration, 1),
	}
	p.answers = newAnswers(s, p.log)
	p.ready = &readiness{board: p.board, startedAt: time.Now()}
	p.self = ownInstance(s, opened)
	if err := p.wire(); err != nil {
		opened.close()
		return nil, err
	}
	return p, nil
}

func telemetryConfig(s *settings.Gateway) telemetry.Config {
	return telemetry.Config{
		Program:       "gateway",
		Instance:      s.Instance.ID,
		FailureDomain: s.Instance.FailureDomain,
		Region:        s.Instance.Region,
		LogLevel:      s.Log.Level,
		LogFormat:     string(s.Log.Format),
		TraceExporter: string(s.Trace.Exporter),
		TraceEndpoint: s.Trace.Endpoint,
	}
}

// ownInstance returns the description of this process's own instance.
func ownInstance(s *settings.Gateway, l listeners) platform.Instance {
	incarnation := s.Instance.Incarnation
	if incarnation == 0 {
		incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	return platform.Instance{
		ID:            s.Instance.ID,
		Incarnation:   incarnation,
		Role:          platform.RoleEntry,
		Region:        s.Instance.Region,
		FailureDomain: s.Instance.FailureDomain,
		Address:       l.callers.Addr().String(),
		PeerAddress:   l.peers.Addr().String(),
		State:         platform.Live,
	}
}

// wire creates the parts and connects them.
func (p *Process) wire() error {
	if err := p.wireTLS(); err != nil {
		return err
	}
	p.platform = connectplatform.NewClient(transport.NewClient(transport.Options{FreshConnections: true, RequireFrame: true, Answers: p.answers.Own}), p.settings.Platform.Address,
		transport.Gzip(p.answers.Own, platformSource))
	p.wireState()
	p.wireRequests()
	return nil
}

// wireTLS creates the parts that need certificates. An error names the file that cannot
// be used.
func (p *Process) wireTLS() error {
	var err error
	if p.certificate, err = callersCertificate(p.settings.TLS.Callers); err != nil {
		return err
	}
	if p.pool, err = peer.NewPool(p.settings.TLS.Peers.Files()); err != nil {
		return err
	}
	upstreams, err := p.settings.TLS.Upstream.ClientConfig()
	if err != nil {
		return err
	}
	p.dialer = connectupstream.NewDialer(upstreams, p.answers.ForCallers)
	return nil
}

func credentials(accounts []settings.ClientAccount) []auth.Credential {
	var out []auth.Credential
	for _, a := range accounts {
		out = append(out, auth.Credential{Account: a.Name, Token: auth.Digest(a.TokenSHA256)})
	}
	return out
}

// wireState creates the controllers that write to the blackboard.
func (p *Process) wireState() {
	revision := &ownRevision{}
	config := membership.DefaultConfig(p.self)
	config.Interval = p.settings.Membership.Heartbeat
	config.Seeds = p.settings.Membership.Seeds
	config.LocalMeshLimit = p.settings.Membership.PeersPerDomain
	if config.LocalMeshLimit == 0 {
		config.LocalMeshLimit = math.MaxInt
	}
	config.RemotePerDomain = p.settings.Membership.OtherDomains
	p.members = membership.New(config, membership.Deps{
		Board:          p.board,
		Transport:      p.pool,
		Configuration:  revision,
		Log:            p.log.Named("membership"),
		OnOwnDeparture: func() { p.requestLeave(p.settings.Limits.StopTimeout) },
	})
	p.documents = configuration.New(configuration.Options{
		Instance:  p.self.ID,
		Log:       p.platform,
		Peers:     configuration.NewPeers(p.pool, p.highestRevisionPeer),
		Documents: p.board.Documents,
		Health:    p.board.Configuration,
		Logger:    p.log,
	})
	revision.controller = p.documents
	p.peers = &peering.Peers{
		Self:    p.self.ID,
		Domain:  p.self.FailureDomain,
		Members: p.board.Members,
		Client:  p.pool,
	}
}

// wireRequests creates the parts that serve callers.
func (p *Process) wireRequests() {
	metrics := &admission.Metrics{}
	metrics.Publish()
	p.admission = admission.New(admission.Config{Metrics: metrics})
	p.memory = newMemory(p.settings, p.log)
	publishMemory(p.memory, p.answers)
	attempts := &admissionRecorder{admission: p.admission}
	router := &upstreamRouter{board: p.board, domain: p.self.FailureDomain, ejections: p.admission}
	dispatcher := &plainDispatcher{
		documents: p.board.Documents,
		router:    router,
		dialer:    p.dialer,
		leaving:   p.members,
		attempts:  attempts,
		budgets:   &retryBudgets{},
		backoff:   retry.DefaultBackoff,
		explain:   p.recorder,
		tracer:    p.tracer,
	}
	p.calls = calls.New(calls.Config{
		Instance:    p.self.ID,
		Incarnation: p.self.Incarnation,
		Log:         p.platform,
		Dispatcher:  dispatcher,
		Peers:       p.peers,
		Documents:   p.board.Documents,
		Health:      p.board.Journal,
		Limits:      calls.Limits{AppendInterval: p.settings.Journal.BatchWait, AppendTimeout: p.settings.Journal.Timeout},
		Logger:      p.log,
	})
	streamConfig := p.streamConfig()
	runner := streaming.NewRunner(streamConfig, &enginePicker{
		documents: p.board.Documents,
		router:    router,
		dialer:    p.dialer,
		leaving:   p.members,
		notices:   p.notices,
		attempts:  attempts,
		explain:   p.recorder,
		tracer:    p.tracer,
	}, dispatcher.budgets, nil)
	p.streams = streaming.NewRegistry(streamConfig, runner)
	p.handler = &handler{
		documents:  p.board.Documents,
		stopping:   p.board.Stopping,
		admission:  p.admission,
		router:     router,
		dispatcher: dispatcher,
		calls:      p.calls,
		streams:    p.streams,
		explain:    p.recorder,
		log:        p.log.Named("requests"),
		tracer:     p.tracer,
		auth:       auth.New(credentials(p.settings.ClientAccounts)),
	}
}

func (p *Process) streamConfig() streaming.Config {
	c := streaming.DefaultConfig()
	c.SilenceLimit = p.settings.Limits.Silence
	c.HeartbeatInterval = p.settings.Limits.Heartbeat
	return c
}

// requestLeave tells the process to leave within the given time. All calls after the
// first are ignored.
func (p *Process) requestLeave(left time.Duration) {
	select {
	case p.reclaimed <- left:
	default:
	}
}

// announce prints the addresses that the process listens on.
func (p *Process) announce(stdout io.Writer) error {
	return json.NewEncoder(stdout).Encode(listeningEvent{
		Event:     "listening",
		Instance:  p.self.ID,
		Callers:   p.self.Address,
		Peers:     p.self.PeerAddress,
		Operators: p.listeners.operators.Addr().String(),
	})
}
