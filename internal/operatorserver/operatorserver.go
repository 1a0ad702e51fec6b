// Package operatorserver is the HTTP server for a process's operators: liveness,
// readiness with the reason if not ready, the expvar metrics and, if enabled,
// profiles. It has a listener apart from that for callers, so that operators can
// still examine a process whose callers overload it.
package operatorserver

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"time"
)

// The paths that every process serves; pprofPath only if profiles are enabled.
const (
	LivenessPath  = "/healthz"
	ReadinessPath = "/readyz"
	MetricsPath   = "/debug/vars"
	pprofPath     = "/debug/pprof/"
)

// The timeouts of an operator's connection. Without them a client that never finishes
// its header, or sends no further request, would keep a connection open forever.
// Writing has no timeout, because a client chooses how long a profile takes.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// Config configures a Server. Listener and Ready are required.
type Config struct {
	// Listener is closed by Shutdown.
	Listener net.Listener
	// Ready reports whether the process should get requests, and if not, the reason.
	// It is called concurrently.
	Ready func() (ok bool, reason string)
	// Pprof enables the profiles of net/http/pprof.
	Pprof bool
	// Handlers are further handlers by their patterns for http.ServeMux.
	Handlers map[string]http.Handler
}

// Server is the HTTP server for the operators of one process. Create it with New.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// New returns a server that answers once Serve is called. It panics, as
// http.ServeMux does, when a pattern of Handlers clashes with another one.
func New(cfg Config) *Server {
	return &Server{
		listener: cfg.Listener,
		http: &http.Server{
			Handler:           newHandler(cfg),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
}

// Address returns the address that the server listens on, as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown is called, and then returns nil. If the
// listener fails, it returns the error.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops listening and waits for requests in flight. If ctx ends first, it
// closes their connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errors.Join(err, s.http.Close())
}

// newHandler returns the handler of all paths.
func newHandler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+LivenessPath, serveLiveness)
	mux.Handle("GET "+ReadinessPath, readinessHandler(cfg.Ready))
	mux.Handle("GET "+MetricsPath, expvar.Handler())
	if cfg.Pprof {
		addPprofHandlers(mux)
	}
	for pattern, handler := range cfg.Handlers {
		mux.Handle(pattern, handler)
	}
	return mux
}

func serveLiveness(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

// readinessHandler answers with status 200, or with 503 and the reason if not ready.
func readinessHandler(ready func() (bool, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		if !ok {
			writeText(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeText(w, http.StatusOK, "ok")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The error is ignored: it means that the client's connection is gone.
	_, _ = io.WriteString(w, text+"\n")
}

// addPprofHandlers adds the profiles at the paths of net/http/pprof.
func addPprofHandlers(mux *http.ServeMux) {
	mux.HandleFunc(pprofPath, pprof.Index)
	mux.HandleFunc(pprofPath+"cmdline", pprof.Cmdline)
	mux.HandleFunc(pprofPath+"profile", pprof.Profile)
	mux.HandleFunc(pprofPath+"symbol", pprof.Symbol)
	mux.HandleFunc(pprofPath+"trace", pprof.Trace)
}
