package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/auth"
	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// minCompressBytes is the least size of a message that is compressed for a caller
// that accepts it. Compressing a frame with a token makes it no smaller and
// costs several times what the rest of the token does.
const minCompressBytes = 1 << 10

// newCallersServer returns the server of the callers' listener.
//
// A caller's token is checked before its body is read: otherwise anyone could
// have this process read and decode bodies up to the limit.
func newCallersServer(h *handler, limits settings.Limits) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(h,
		connect.WithInterceptors(refusalLog{log: h.log}),
		connect.WithRecover(h.recoverPanic),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithReadMaxBytes(int(limits.MaxBody))))
	authenticated := h.auth.Middleware(h.logUnhandledRefusals(mux), h.logUnauthenticated)
	bounded := withCallerTimeouts(authenticated, callerTimeouts{read: callerReadTimeout, write: callerWriteTimeout})
	server := transport.NewServer(telemetry.Continue(bounded))
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.MaxHeaderBytes = int(limits.MaxHeader)
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: limits.MaxStreams}
	server.ErrorLog = h.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
	return server
}

// callersCertificate returns the certificate that is shown to callers, or nil
// when callers get plaintext.
func callersCertificate(pair settings.KeyPair) (*certificate.Reloader, error) {
	if !pair.Set() {
		return nil, nil
	}
	return certificate.NewReloader(pair.Files())
}

// serve answers callers until the server is closed, over TLS if there is a
// certificate. Callers choose HTTP/2 or HTTP/1.1 by ALPN.
func serve(server *http.Server, listener net.Listener, shown *certificate.Reloader) error {
	if shown == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = shown.Server("h2", "http/1.1")
	return server.ServeTLS(listener, "", "")
}

// recoverPanic ends one request whose handler panicked. Its caller hears an error
// that says nothing of whether the request ran. The panic's value may hold what
// a caller sent, so only that of the runtime is logged.
func (h *handler) recoverPanic(ctx context.Context, spec connect.Spec, _ http.Header, value any) error {
	what := fmt.Sprintf("%T", value)
	if fault, ok := value.(runtime.Error); ok {
		what = fault.Error()
	}
	h.log.Error("handler panicked", "procedure", spec.Procedure, "client_account", auth.Account(ctx),
		"panic", what, "stack", string(debug.Stack()))
	return errInternal()
}

// logUnauthenticated logs a request without a valid token.
func (h *handler) logUnauthenticated(r *http.Request) {
	h.log.Info("request refused", "procedure", r.URL.Path, "code", connect.CodeUnauthenticated.String())
}

// logUnhandledRefusals logs what Connect refuses before the handler: a body that is too
// large or cannot be decoded.
func (h *handler) logUnhandledRefusals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		note := &refusalNote{}
		seen := &statusWriter{ResponseWriter: w}
		next.ServeHTTP(seen, r.WithContext(context.WithValue(r.Context(), refusalNoteKey{}, note)))
		if seen.status >= http.StatusBadRequest && !note.logged {
			h.log.Info("request refused", "procedure", r.URL.Path, "client_account", auth.Account(r.Context()),
				"status", seen.status)
		}
	})
}

// refusalNote tells that a request's refusal has its line in the log.
type refusalNote struct{ logged bool }

type refusalNoteKey struct{}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (s *statusWriter) Flush() { _ = http.NewResponseController(s.ResponseWriter).Flush() }

// Unwrap lets http.ResponseController reach the connection.
func (s *statusWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// maxLoggedErrorBytes bounds the text of an error in the log, in bytes: parts of it
// are what a caller sent.
const maxLoggedErrorBytes = 200

// refusalLog is an interceptor that logs each request that ends with an error
// of the protocol. Outcomes are logged where they are told.
type refusalLog struct{ log hclog.Logger }

var _ connect.Interceptor = refusalLog{}

// WrapUnary implements connect.Interceptor.
func (l refusalLog) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		resp, err := next(ctx, req)
		l.logRefusal(ctx, req.Spec(), err)
		return resp, err
	}
}

// WrapStreamingClient implements connect.Interceptor; clients pass through.
func (l refusalLog) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (l refusalLog) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		err := next(ctx, conn)
		l.logRefusal(ctx, conn.Spec(), err)
		return err
	}
}

func (l refusalLog) logRefusal(ctx context.Context, spec connect.Spec, err error) {
	if err == nil {
		return
	}
	if note, ok := ctx.Value(refusalNoteKey{}).(*refusalNote); ok {
		note.logged = true
	}
	text := err.Error()
	l.log.Info("request refused", "procedure", spec.Procedure, "client_account", auth.Account(ctx),
		"code", connect.CodeOf(err).String(), "error", text[:min(len(text), maxLoggedErrorBytes)])
}
