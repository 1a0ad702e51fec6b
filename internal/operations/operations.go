// Package operations serves a process's operators over HTTP: liveness,
// readiness with its reason, the expvar metrics, and profiles where they are
// switched on. It listens apart from the callers' address, so that a process
// can still be looked at when callers keep it busy.
package operations

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

// The paths that every process serves.
const (
	LivenessPath  = "/healthz"
	ReadinessPath = "/readyz"
	MetricsPath   = "/debug/vars"
	pprofPath     = "/debug/pprof/"
)

// Limits of an operators' connection. Without them a client that never finishes
// its header, or asks nothing more, would hold a connection for good. Writing has
// no limit: a profile takes as long as its client asks for.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// Config says what to serve. Listener and Ready are required.
type Config struct {
	// Listener is closed by Shutdown.
	Listener net.Listener
	// Ready reports whether the process should get work, and if not, why.
	Ready func() (ok bool, reason string)
	// Pprof serves the profiles of net/http/pprof.
	Pprof bool
	// Handlers are further handlers by pattern, as in http.ServeMux.
	Handlers map[string]http.Handler
}

// Server serves the operators of one process. Create it with New.
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

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers until Shutdown. It returns nil after Shutdown, and the
// listener's error otherwise.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops listening, waits for running answers until ctx ends, and
// then cuts them off.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errors.Join(err, s.http.Close())
}

// newHandler routes the operators' paths.
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

// readinessHandler answers 200, or 503 with the reason.
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
	// The client may be gone; there is nobody left to tell.
	_, _ = io.WriteString(w, text+"\n")
}

// addPprofHandlers serves the profiles at their customary paths.
func addPprofHandlers(mux *http.ServeMux) {
	mux.HandleFunc(pprofPath, pprof.Index)
	mux.HandleFunc(pprofPath+"cmdline", pprof.Cmdline)
	mux.HandleFunc(pprofPath+"profile", pprof.Profile)
	mux.HandleFunc(pprofPath+"symbol", pprof.Symbol)
	mux.HandleFunc(pprofPath+"trace", pprof.Trace)
}
