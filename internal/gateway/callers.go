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
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// minCompressBytes is the size in bytes from which a message is compressed for a caller
// that accepts compression. Compressing the frame of one token makes it no smaller and
// costs several times as much as all other work on the token.
const minCompressBytes = 1 << 10

// newCallersServer returns the server of the callers' listener.
//
// A caller's token is checked before its body is read: otherwise anyone could make this
// process read and decode bodies up to the size limit.
func newCallersServer(h *handler, limits settings.Limits, memory *membudget.Budget) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(h,
		connect.WithInterceptors(refusalLog{log: h.log}),
		connect.WithRecover(h.recoverPanic),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithReadMaxBytes(int(limits.MaxBody))))
	authenticated := h.auth.Middleware(h.logUnhandledRefusals(withMessageMemory(mux, int64(limits.MaxBody))), h.logUnauthenticated)
	reserved := withCallerMemory(authenticated, memory, h.log)
	bounded := withCallerTimeouts(reserved, callerTimeouts{read: callerReadTimeout, write: callerWriteTimeout})
	server := transport.NewServer(telemetry.ContinueTrace(bounded))
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.MaxHeaderBytes = int(limits.MaxHeader)
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: limits.MaxStreams, MaxReceiveBufferPerConnection: http2WindowBytes, MaxReceiveBufferPerStream: http2StreamWindowBytes,
	}
	membudget.Track(server)
	server.ErrorLog = h.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
	return server
}

// callersCertificate returns the certificate that is presented to callers, or nil when
// callers get plaintext.
func callersCertificate(pair settings.KeyPair) (*certificate.Reloader, error) {
	if !pair.IsSet() {
		return nil, nil
	}
	return certificate.NewReloader(pair.Files())
}

// serve answers callers until the server is closed, over TLS unless reloader is nil.
// Callers choose HTTP/2 or HTTP/1.1 by ALPN.
func serve(server *http.Server, listener net.Listener, reloader *certificate.Reloader) error {
	if reloader == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = reloader.ServerConfig("h2", "http/1.1")
	return server.ServeTLS(listener, "", "")
}

// recoverPanic logs the panic of a handler and returns an error that does not say
// whether the request ran. A panic's value may contain what a caller sent, so
// only the text of a runtime error is logged, and otherwise the type.
func (h *handler) recoverPanic(ctx context.Context, spec connect.Spec, _ http.Header, value any) error {
	description := fmt.Sprintf("%T", value)
	if fault, ok := value.(runtime.Error); ok {
		description = fault.Error()
	}
	h.log.Error("handler panicked", "procedure", spec.Procedure, "client_account", auth.Account(ctx),
		"panic", description, "stack", string(debug.Stack()))
	return errInternal()
}

// logUnauthenticated logs a request without a valid token.
func (h *handler) logUnauthenticated(r *http.Request) {
	h.log.Info("request refused", "procedure", r.URL.Path, "code", connect.CodeUnauthenticated.String())
}

// logUnhandledRefusals logs the requests that Connect refuses before the handler runs,
// because their bodies are too large or cannot be decoded.
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

// refusalNote tells whether the refusal of a request has been logged.
type refusalNote struct{ logged bool }

type refusalNoteKey struct{}

// statusWriter records the status of a response.
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

// maxLoggedErrorBytes is the length to which the text of an error is cut in the log,
// since parts of it may come from a caller.
const maxLoggedErrorBytes = 200

// refusalLog is an interceptor that logs each request that ends with a protocol error.
// Outcomes are logged by handler.recordOutcome.
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

// WrapStreamingClient implements connect.Interceptor. It leaves clients as they are.
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
