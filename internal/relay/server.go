package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
)

const (
	// maxActive bounds the requests that are relayed at the same time.
	maxActive = 256
	// maxRequestBytes bounds a request with its header and body.
	maxRequestBytes = 8 << 20
	// connectTime bounds a connection attempt to an upstream that another gateway waits for.
	connectTime = 40 * time.Millisecond
	// readBytes is how much of an answer is read at a time; an event has some 80 bytes.
	readBytes = 4 << 10
	// writeGrace is how long after the caller's time is over the rest of an answer may be written.
	writeGrace = time.Second
)

// Upstreams is this gateway's own way to upstreams, without other gateways.
type Upstreams interface {
	// Target returns where an upstream's requests are sent, or false if this gateway does not know
	// it at the address or sends it nothing, as it leaves.
	Target(id ident.Instance, address string) (httpconn.Target, bool)
	// Send is like httpconn.Pool.Send. It fails at once if the path is known to be lost.
	Send(ctx context.Context, target httpconn.Target, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure)
	// Connect opens a connection.
	Connect(ctx context.Context, target httpconn.Target) error
}

// Dialect interprets the upstreams' protocol.
type Dialect interface {
	// Relayed prepares another gateway's request to be sent: with the time that is left, and with
	// how its answer is recognized.
	Relayed(req *httpconn.Request, id ident.Request, timeLeft time.Duration)
	// ParseAnnouncement returns what the header of an answer announces about the upstream that was
	// asked.
	ParseAnnouncement(status int, header http.Header) announced.Statement
	// ParseFields interprets fields of an upstream that are not the header of an answer.
	ParseFields(fields http.Header) announced.Statement
	// RemoveAnnouncements removes what an upstream announces to gateways alone.
	RemoveAnnouncements(header http.Header)
}

// Announcements records what upstreams announce in their answers.
type Announcements interface {
	Record(upstream ident.Instance, id ident.Request, s announced.Statement)
	// Accepts reports whether an upstream takes requests from this gateway.
	Accepts(upstream ident.Instance) bool
}

// errWithdrawn keeps a request from being sent to an upstream that takes none from this gateway.
var errWithdrawn = errors.New("the upstream takes no requests from this gateway")

// ServerConfig holds what a Server uses. All fields are required.
type ServerConfig struct {
	Now           boottime.Clock
	Log           hclog.Logger
	Tracer        trace.Tracer
	Upstreams     Upstreams
	Dialect       Dialect
	Announcements Announcements
	// IsGateway reports whether a gateway of this name is known at a host.
	IsGateway func(node ident.Instance, host string) bool
	// Leaving reports whether this gateway is leaving.
	Leaving func() bool
	// Memory bounds what other gateways' requests make the process hold, together with callers' own.
	Memory *membudget.Budget
}

// Server relays other gateways' requests to upstreams. Create it with NewServer.
type Server struct {
	cfg     ServerConfig
	handler http.Handler
	active  atomic.Int64
	// relayed counts the requests that were passed to an upstream, refused those that were not.
	relayed, refused atomic.Int64
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.handler = telemetry.ContinueTrace(http.HandlerFunc(s.serve))
	return s
}

// Active returns how many requests are being relayed.
func (s *Server) Active() int { return int(s.active.Load()) }

// Counts returns how many requests were passed to an upstream, and how many were not.
func (s *Server) Counts() (relayed, refused int64) { return s.relayed.Load(), s.refused.Load() }

// ServeHTTP implements http.Handler for requests to Path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	received := s.cfg.Now()
	req, end, err := s.read(w, r)
	defer end()
	switch {
	case errors.Is(err, membudget.ErrNoRoom):
		s.refuse(w, nil, http.StatusServiceUnavailable, outcomeNotSent, err.Error())
		return
	case err != nil:
		s.refuse(w, nil, http.StatusBadRequest, outcomeNotSent, err.Error())
		return
	}
	target, outcome, reason := s.admit(r, req)
	if outcome != "" {
		s.refuse(w, req, http.StatusServiceUnavailable, outcome, reason)
		return
	}
	if req.ConnectOnly {
		s.connect(r.Context(), w, req, target)
		return
	}
	s.relay(w, r, req, target, received)
}

// read reads and decodes a request. Its memory is given back by end.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (req *request, end func(), err error) {
	share, err := s.cfg.Memory.Begin(nil, 0, http.NewResponseController(w))
	if err != nil {
		return nil, func() {}, err
	}
	data, err := share.ReadBody(r.Body, r.ContentLength, maxRequestBytes)
	if err == nil {
		err = share.Grow(int64(len(data))) // the decoded request is a copy
	}
	if err == nil {
		req, err = decodeRequest(data)
	}
	return req, share.End, err
}

// admit decides whether a request is relayed. It returns the outcome and the reason if not.
func (s *Server) admit(r *http.Request, req *request) (target httpconn.Target, outcome, reason string) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	switch {
	case err != nil || !s.cfg.IsGateway(req.From, host):
		return target, outcomeUnknownSender, "the sender is no gateway that is known here"
	case s.cfg.Leaving():
		return target, outcomeNotSent, "this gateway is leaving"
	case s.active.Load() > maxActive:
		return target, outcomeNotSent, "too many requests are being relayed"
	}
	target, known := s.cfg.Upstreams.Target(req.Upstream, req.Address)
	if !known {
		return target, outcomeNotSent, "the upstream is not known here, or leaves"
	}
	target.DialTimeout = connectTime
	return target, "", ""
}

func (s *Server) connect(ctx context.Context, w http.ResponseWriter, req *request, target httpconn.Target) {
	if err := s.cfg.Upstreams.Connect(ctx, target); err != nil {
		s.refuse(w, req, http.StatusServiceUnavailable, notReached(err), err.Error())
		return
	}
	w.Header().Set(fieldOutcome, outcomeConnected)
	writeKeepAlive(w)
	w.WriteHeader(http.StatusOK)
}

// notReached returns the outcome of a request that was not sent.
func notReached(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return outcomeRefused
	case errors.Is(err, httpconn.ErrNoFreeConnection), errors.Is(err, errWithdrawn):
		return outcomeNotSent
	}
	return outcomeNotReached
}

// relay sends a request to its upstream and passes the answer on.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, req *request, target httpconn.Target, received time.Time) {
	ctx, span := s.cfg.Tracer.Start(r.Context(), "relay", trace.WithAttributes(
		attribute.String("request", string(req.ID)), attribute.String("upstream", string(req.Upstream)), attribute.String("from", string(req.From))))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, req.TimeLeft)
	defer cancel()
	s.cfg.Dialect.Relayed(&req.HTTP, req.ID, req.TimeLeft-s.cfg.Now().Sub(received))
	req.HTTP.OnOtherHeader = func(header http.Header) { s.record(req, s.cfg.Dialect.ParseFields(header)) }
	req.HTTP.BeforeSend = func() error {
		if !s.cfg.Announcements.Accepts(req.Upstream) {
			return errWithdrawn
		}
		return nil
	}
	answer, failure := s.cfg.Upstreams.Send(ctx, target, &req.HTTP)
	if failure != nil {
		outcome := outcomeNoAnswer
		if !failure.MaybeSent {
			outcome = notReached(failure)
		}
		s.refuse(w, req, http.StatusBadGateway, outcome, failure.Error())
		return
	}
	defer answer.Close()
	s.relayed.Add(1)
	s.pass(w, req, answer)
}

// pass passes an answer on as it arrives. An answer that breaks off breaks the relayed one off too.
func (s *Server) pass(w http.ResponseWriter, req *request, answer *httpconn.Answer) {
	s.record(req, s.cfg.Dialect.ParseAnnouncement(answer.Status, answer.Header))
	s.cfg.Dialect.RemoveAnnouncements(answer.Header)
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(req.TimeLeft + writeGrace)) // all connections of net/http support deadlines
	copyHeader(w.Header(), answer.Header, req.HTTP.Method == http.MethodHead)
	w.Header().Set(fieldOutcome, outcomeAnswer)
	writeKeepAlive(w)
	w.WriteHeader(answer.Status)
	err := control.Flush() // with the first flush the answer is chunked, so that a trailer can follow
	buffer := make([]byte, readBytes)
	for err == nil {
		var n int
		n, err = answer.Read(buffer)
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				err = failed
			} else if failed := control.Flush(); failed != nil {
				err = failed
			}
		}
	}
	if err != io.EOF {
		s.log(req, "broken_off", err.Error())
		panic(http.ErrAbortHandler)
	}
	trailer := answer.Trailer()
	s.record(req, s.cfg.Dialect.ParseFields(trailer))
	s.cfg.Dialect.RemoveAnnouncements(trailer)
	for name, values := range trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	end := answer.End(completion.NotAStream)
	w.Header()[http.TrailerPrefix+fieldEnd] = []string{encodeEnd(end, end.DependsOnProcess() && answer.WorthAsking())}
}

// ownFields are the header fields of answers to relayed requests.
var ownFields = []string{fieldOutcome, fieldReason, fieldLength, fieldEnd}

// copyHeader copies the header of an upstream's answer without what concerns its connection. headOnly:
// the answer has no body, and its length is that of another answer.
func copyHeader(to, from http.Header, headOnly bool) {
	length := from.Get("Content-Length")
	for name, values := range httpconn.RemoveHopByHop(from) {
		to[name] = values
	}
	for _, name := range ownFields {
		to.Del(name)
	}
	if headOnly && length != "" {
		to.Set(fieldLength, length)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if from.Get(name) == "" {
			to[name] = nil // net/http adds none then
		}
	}
}

// writeKeepAlive tells the other gateway how long it may reuse the connection.
func writeKeepAlive(w http.ResponseWriter) { w.Header().Set("Keep-Alive", gossip.KeepAliveHeader) }

func (s *Server) record(req *request, statement announced.Statement) {
	s.cfg.Announcements.Record(req.Upstream, req.ID, statement)
}

// refuse answers a request of which no upstream's answer is passed on. req is nil if it was not
// understood.
func (s *Server) refuse(w http.ResponseWriter, req *request, status int, outcome, reason string) {
	s.refused.Add(1)
	s.log(req, outcome, reason)
	w.Header().Set(fieldOutcome, outcome)
	w.Header().Set(fieldReason, strings.Map(printable, reason))
	writeKeepAlive(w)
	w.WriteHeader(status)
}

// printable replaces what must not stand in a header field.
func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}

func (s *Server) log(req *request, outcome, reason string) {
	if req == nil {
		req = &request{}
	}
	s.cfg.Log.Info("request of another gateway not relayed to its end", "id", req.ID, "from", req.From, "upstream", req.Upstream,
		"connect_only", req.ConnectOnly, "outcome", outcome, "reason", reason)
}
