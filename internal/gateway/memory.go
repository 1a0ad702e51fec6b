package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/auth"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

const (
	// connectionBytes is what a caller's connection costs while a request of ordinary size is on it, and
	// secureConnectionBytes what TLS adds.
	connectionBytes       = 48 << 10
	secureConnectionBytes = 32 << 10
	// streamBytes is what a request costs beside its message: its goroutine, its headers and its buffers.
	streamBytes = 32 << 10
	// http2WindowBytes is how much a caller may send on an HTTP/2 connection before it is read, and
	// http2StreamWindowBytes on one stream of it.
	http2WindowBytes       = 128 << 10
	http2StreamWindowBytes = 64 << 10
	// http2Bytes is what an HTTP/2 connection costs more than one of HTTP/1.1: its window, and its tables and
	// frames.
	http2Bytes = http2WindowBytes + 64<<10
	// retryAfterShortage is the retry-after time where this gateway lacks memory.
	retryAfterShortage = time.Second
)

// newMemory returns the account of what callers make the process hold.
func newMemory(s *settings.Gateway, log hclog.Logger) *membudget.Budget {
	cost := int64(connectionBytes)
	if s.TLS.Callers.IsSet() {
		cost += secureConnectionBytes
	}
	machine := s.Machine.Budget()
	return membudget.New(membudget.Config{
		Now: boottime.Now, Log: log.Named("memory"), Bytes: machine.CallerBytes(), Connections: machine.CallerConnections(),
		ConnectionBytes: cost, MetersHeads: !s.TLS.Callers.IsSet(),
	})
}

// publishMemory exports the account through expvar.
func publishMemory(memory *membudget.Budget) {
	expvar.Publish("goldcrestspool.callers.memory", expvar.Func(func() any { return memory.State() }))
}

// memoryConnKey is the context key of a request's connection in the memory budget.
type memoryConnKey struct{}

// trackMemory makes a server tell the memory budget of its connections.
func trackMemory(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, memoryConnKey{}, memoryConn(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := memoryConn(c); conn != nil && state == http.StateIdle {
			conn.SetIdle()
		}
	}
}

// memoryConn returns a connection as the memory budget knows it, or nil.
func memoryConn(c net.Conn) *membudget.Conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	conn, _ := c.(*membudget.Conn)
	return conn
}

// withCallerMemory returns a handler that reserves what a request makes the process hold before it is held.
func withCallerMemory(next http.Handler, memory *membudget.Budget, log hclog.Logger) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share, err := beginShare(w, r, memory)
		if err != nil {
			log.Info("request refused", "procedure", r.URL.Path, "error", err)
			endUnread(w, r)
			writeNoRoom(w, r, errorWriter, err)
			return
		}
		defer share.End()
		r = r.WithContext(context.WithValue(r.Context(), shareKey{}, share))
		if r.Body == http.NoBody {
			if share.Whole() != nil {
				return // its connection had to yield
			}
			next.ServeHTTP(w, r)
			return
		}
		r.Body = callerBody{share.Body(r.Body)}
		unread := &unreadEnder{ResponseWriter: w, request: r, share: share}
		next.ServeHTTP(unread, r)
	})
}

// beginShare returns the share of a request whose head was read.
func beginShare(w http.ResponseWriter, r *http.Request, memory *membudget.Budget) (*membudget.Request, error) {
	conn, _ := r.Context().Value(memoryConnKey{}).(*membudget.Conn)
	cost := int64(0)
	if r.ProtoMajor >= 2 {
		if conn != nil && !conn.Share(http2Bytes) {
			return nil, membudget.ErrNoRoom
		}
		cost = streamBytes
	}
	control := http.NewResponseController(w)
	return memory.Begin(conn, cost, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
}

// compressed reports whether a request's message is compressed, so that it may become far larger than it came.
func compressed(header http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// noRoom returns the error of a request that was not run because memory is short.
func noRoom(err error) *connect.Error {
	refusal := connect.NewError(connect.CodeResourceExhausted, errors.New("the request was not run: "+err.Error()))
	refusal.Meta().Set("Retry-After", strconv.Itoa(int(retryAfterShortage.Seconds())))
	return refusal
}

// writeNoRoom answers a request that was not run because memory is short.
func writeNoRoom(w http.ResponseWriter, r *http.Request, errorWriter *connect.ErrorWriter, err error) {
	if !errorWriter.IsSupported(r) {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfterShortage.Seconds())))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// The error is ignored: it means that the caller's connection is gone.
	_ = errorWriter.Write(w, r, noRoom(err))
}

// callerBody is a body whose errors Connect passes on to the caller.
type callerBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, membudget.ErrNoRoom) || errors.Is(err, membudget.ErrYielded) {
		return n, noRoom(err)
	}
	return n, err
}

// unreadEnder ends what the unread body of a refused request costs: nothing more of it is read, and its
// connection of HTTP/1.1 is closed after the answer. Without that, net/http would read on.
type unreadEnder struct {
	http.ResponseWriter
	request *http.Request
	share   *membudget.Request
}

// WriteHeader implements http.ResponseWriter.
func (u *unreadEnder) WriteHeader(status int) {
	if status >= http.StatusBadRequest && u.share.Arriving() {
		endUnread(u.ResponseWriter, u.request)
	}
	u.ResponseWriter.WriteHeader(status)
}

// endUnread ends the reading of a refused request's body, before its answer is written. A stream of HTTP/2 ends
// by itself.
func endUnread(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 || r.Body == http.NoBody {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	if conn, _ := r.Context().Value(memoryConnKey{}).(*membudget.Conn); conn != nil {
		conn.LingerOnClose()
	}
}

// Flush implements http.Flusher.
func (u *unreadEnder) Flush() { _ = http.NewResponseController(u.ResponseWriter).Flush() }

// Unwrap lets http.ResponseController reach the connection.
func (u *unreadEnder) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// withShareOfAccount returns a handler that records the client account for the request's share of the memory,
// and reserves what a compressed message may become. maxBody is the longest one after its decompression, in bytes.
func withShareOfAccount(next http.Handler, maxBody int64) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if share, ok := r.Context().Value(shareKey{}).(*membudget.Request); ok {
			share.SetAccount(auth.Account(r.Context()))
			if compressed(r.Header) {
				if err := share.Grow(membudget.LibraryCost * maxBody); err != nil {
					writeNoRoom(w, r, errorWriter, err)
					return
				}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// shareKey is the context key of a request's share of the memory.
type shareKey struct{}
