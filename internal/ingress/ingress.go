// Package ingress is the HTTP server for callers: it checks their requests against the
// operators' configuration, enforces limits, hands the requests to a Forwarder and
// delivers the answers.
package ingress

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Parsed holds what a request's headers state.
type Parsed struct {
	ID ident.Request
	// Key is the key of the client account; empty if the request has none.
	Key string
	// Deadline is how long the caller waits for the answer; 0 if it did not state that.
	Deadline time.Duration
	// LastEventID is the ID of the event after which the caller wants its stream to
	// resume; empty for the whole stream.
	LastEventID string
	// Resumes is the caller's attempt that brought the first event of the stream that the request
	// goes on with; empty if the request names none.
	Resumes ident.Request
	// TokensDeclared: the request declares its tokens.
	TokensDeclared bool
	// PromptTokens is the prompt's size, and MaxTokens the largest size of the answer;
	// both are 0 if not declared.
	PromptTokens, MaxTokens int
	// Parts lists the prompt's parts in order.
	Parts []forward.PromptPart
	// Header holds the headers that may be passed on to an upstream.
	Header http.Header
}

// Protocol interprets callers' headers.
type Protocol interface {
	// Parse returns what the headers state, and the faults found in them.
	Parse(r *http.Request) (Parsed, finding.List)
}

// Quota enforces the accounts' rate limits over all gateways.
type Quota interface {
	// Admit takes a cost out of an account's limit, or refuses the request with a
	// retry-after time. It may wait for another gateway, 0.1 s at most.
	Admit(account *routetable.Account, cost float64, now time.Time) quota.Decision
}

// Guard knows the poison requests, which crash the upstreams that run them.
type Guard interface {
	forward.KnownPoison
	// Barred reports whether a request must not run, and its retry-after time.
	Barred(features []ident.Feature) *poison.Barred
}

// Forwarder sends a call to an upstream and delivers the answer.
type Forwarder interface {
	Serve(ctx context.Context, call *forward.Call, caller forward.Caller) forward.Outcome
}

// Config holds what a Server uses. All fields are required.
type Config struct {
	Now boottime.Clock
	// Table returns the operators' configuration, or nil while none is known.
	Table     func() *routetable.Table
	Protocol  Protocol
	Quota     Quota
	Guard     Guard
	Forwarder Forwarder
	Log       hclog.Logger
	Tracer    trace.Tracer
	Metrics   *Metrics
	// Memory bounds what callers make the process hold.
	Memory *membudget.Budget
}

const (
	// maxHeaderBytes bounds what net/http reads of a header; the operators' own limit
	// is checked afterwards. It is twice the users' limit of 16 KiB.
	maxHeaderBytes = 32 << 10
	// headerTimeout bounds the reading of a header: the users' limit of 3 s and some
	// slack. It must be set when the server is created, before a configuration is known,
	// so the operators' own limit is not applied.
	headerTimeout = 4 * time.Second
	// loggedSuccessesPerSecond bounds the log lines about plain successes: to log a flood
	// of them would cost processor time and explain nothing. Other outcomes are always
	// logged.
	loggedSuccessesPerSecond = 50
	// retryAfterStart is the retry-after time where this gateway has no configuration yet, so
	// that it may serve the request soon.
	retryAfterStart = 500 * time.Millisecond
	// retryAtOnce is the retry-after time where another gateway can serve the request at
	// once.
	retryAtOnce = 20 * time.Millisecond
	// writeGrace is how long after a call expires its answer may still be written to a
	// caller that reads slowly.
	writeGrace = time.Second
)

// Server serves callers. Create it with New.
type Server struct {
	cfg     Config
	http    *http.Server
	leaving atomic.Pointer[leaveDeadlines]
	// lifetime ends with the calls that are in progress.
	lifetime          context.Context
	endCalls          context.CancelFunc
	active            atomic.Int64
	idleLimits        *idleLimits
	successLogLimiter *rate.Limiter
}

// New returns a Server. Call Serve with a listener to start it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, idleLimits: newIdleLimits(), successLogLimiter: rate.NewLimiter(loggedSuccessesPerSecond, loggedSuccessesPerSecond)}
	s.lifetime, s.endCalls = context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler:                      http.HandlerFunc(s.serve),
		ReadHeaderTimeout:            headerTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     cfg.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	membudget.Track(s.http)
	return s
}

// Serve answers callers until Close is called or the listener fails, and returns the error
// of net/http's Server.Serve.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(s.cfg.Memory.Listener(l))
}

// Leave announces that the server will close: from now on, answers ask callers to use their
// connections no further. New requests are still served if they can be expected to end
// before closing; streams, whose length is not known, are served if they arrive before
// streamsUntil. Others are refused, so that their callers go to another gateway at once
// instead of being cut off.
func (s *Server) Leave(streamsUntil, closing time.Time) {
	s.leaving.Store(&leaveDeadlines{streamsUntil: streamsUntil, closing: closing})
}

// leaveDeadlines tells until when a leaving server accepts requests. All are accepted until
// streamsUntil; after that, those that are not streams are accepted as long as their timeout
// ends before closing.
type leaveDeadlines struct {
	streamsUntil, closing time.Time
}

// accepts reports whether a request of the route can be expected to end in time. A nil
// receiver, for a server that is not leaving, accepts everything.
func (l *leaveDeadlines) accepts(route *routetable.Route, now time.Time) bool {
	if l == nil {
		return true
	}
	if route.Kind == routetable.Streaming {
		return now.Before(l.streamsUntil)
	}
	return now.Add(route.Timeout).Before(l.closing) || now.Before(l.streamsUntil)
}

// CloseIdle closes the connections on which no request is in progress, and returns how
// many connections are left.
func (s *Server) CloseIdle() int { return s.cfg.Memory.CloseIdle(s.cfg.Now()) }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// EndCalls ends the time of all calls in progress, so that each gets its final answer at once.
func (s *Server) EndCalls() { s.endCalls() }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// SweepIdle closes the connections that were idle for longer than the idle limit in force
// and than every limit that was in force while they were idle. It must be called regularly.
func (s *Server) SweepIdle() {
	limit := time.Duration(0)
	if table := s.cfg.Table(); table != nil {
		limit = table.Limits().IdleTimeout
	}
	now := s.cfg.Now()
	s.cfg.Memory.CloseIdle(now.Add(-s.idleLimits.longest(limit, now) - idleSlack))
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	caller := &caller{w: w, control: http.NewResponseController(w), headOnly: r.Method == http.MethodHead}
	conn := membudget.ConnOf(r.Context())
	if !r.ProtoAtLeast(1, 1) {
		caller.endedByClose = conn
	}
	if s.leaving.Load() != nil || len(r.TransferEncoding) > 0 {
		// net/http drops the Content-Length of a request with a chunked body. A proxy
		// before us that went by that length would take the rest of the body for a second
		// request (request smuggling), so nothing more is read on this connection.
		w.Header().Set("Connection", "close")
	}
	received := s.cfg.Now()
	share, err := s.cfg.Memory.Begin(conn, 0, caller.control)
	if err != nil {
		// The connection had to yield, and is closed. Nothing of the request has been used.
		panic(http.ErrAbortHandler)
	}
	defer share.End()
	call, refusal := s.accept(caller.control, r, share, received)
	if refusal != nil {
		share.Refused(w.Header(), r.ContentLength)
		s.refuse(w, r, call, refusal)
		return
	}
	ctx, span := s.cfg.Tracer.Start(r.Context(), "request", trace.WithAttributes(
		attribute.String("request", string(call.ID)), attribute.String("route", call.Route.Name)))
	defer span.End()
	caller.timeLimit = call.Expires.Sub(received)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(s.lifetime, func() { cancel(forward.ErrTimeOver) })()
	outcome := s.cfg.Forwarder.Serve(ctx, call, caller)
	s.recordOutcome(call, outcome)
	if caller.abort {
		panic(http.ErrAbortHandler)
	}
}

// accept checks a request, reads its body and returns the call. If the request is refused,
// it returns the refusal and what is known of the call, which may be nil.
func (s *Server) accept(control *http.ResponseController, r *http.Request, share *membudget.Request, now time.Time) (*forward.Call, *refusal) {
	table := s.cfg.Table()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", retryAfter: retryAfterStart}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request target is not a path"}
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too long"}
	}
	parsed, findings := s.cfg.Protocol.Parse(r)
	call := &forward.Call{
		ID: parsed.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: httpconn.RemoveHopByHop(parsed.Header), Received: now,
		Parts: parsed.Parts, PromptTokens: parsed.PromptTokens, MaxTokens: parsed.MaxTokens, LastEventID: parsed.LastEventID, Resumes: parsed.Resumes,
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	call.Route = table.Route(r.Host, path)
	if call.Route == nil {
		return call, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if !s.leaving.Load().accepts(call.Route, now) {
		return call, &refusal{status: http.StatusServiceUnavailable, reason: "this gateway is leaving", retryAfter: retryAtOnce}
	}
	account, refused := s.authenticate(table, call, &parsed)
	if refused != nil {
		return call, refused
	}
	share.SetAccount(call.Account)
	if err := findings.Err(); err != nil {
		return call, &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	call.Service = table.Service(call.Route.Pick(call.ID))
	if call.TakesUp() {
		// The service that began the stream, as long as the weights are the same.
		call.Service = table.Service(call.Route.Pick(cmp.Or(call.Resumes, call.ID)))
		for _, target := range call.Route.Targets {
			call.Services = append(call.Services, table.Service(target.Service))
		}
	}
	call.Expires = now.Add(call.Route.Timeout)
	if parsed.Deadline > 0 && parsed.Deadline < call.Route.Timeout {
		call.Expires = now.Add(parsed.Deadline)
	}
	if refused := s.readBody(control, r, call, share, table.Limits().BodyBytes); refused != nil {
		return call, refused
	}
	if known := call.FeaturesKnownTo(s.cfg.Guard); len(known) > 0 {
		if barred := s.cfg.Guard.Barred(known); barred != nil {
			return call, &refusal{status: http.StatusServiceUnavailable, reason: forward.BarredReason, retryAfter: barred.RetryAfter, barredBy: barred.Features}
		}
	}
	if account != nil {
		cost := account.Cost(parsed.TokensDeclared, parsed.PromptTokens+parsed.MaxTokens)
		if d := s.cfg.Quota.Admit(account, cost, now); !d.OK {
			s.cfg.Log.Info("account at its limit", "id", call.ID, "account", account.Name, "cost", cost, "rate", account.Rate,
				"source", d.Source, "keeper", d.Keeper, "level", d.Level, "need", d.Need, "asked", d.DemandRate, "heard", d.Heard, "known", d.Known)
			return call, &refusal{status: http.StatusTooManyRequests, reason: "the account's limit is reached", retryAfter: d.RetryAfter}
		}
	}
	return call, nil
}

// authenticate sets the call's account and priority. It returns the account, or nil if the
// request needs no key, or the refusal of a request with an unknown key.
func (s *Server) authenticate(table *routetable.Table, call *forward.Call, parsed *Parsed) (*routetable.Account, *refusal) {
	call.Priority = call.Route.PriorityOf(nil)
	if call.Route.Public || !table.NeedsKeys() {
		return nil, nil
	}
	account := table.AccountByKey(parsed.Key)
	if account == nil {
		return nil, &refusal{status: http.StatusUnauthorized, reason: "the key is not known"}
	}
	call.Account, call.Key = account.Name, parsed.Key
	call.Priority = call.Route.PriorityOf(account)
	return account, nil
}
