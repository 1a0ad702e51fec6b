package gateway

import (
	"context"
	"errors"
	"expvar"
	"io"
	"math"
	"net/http"
	"strconv"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/auth"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/connend"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

const (
	// connectionBytes is what a caller's connection costs while a request of ordinary size is on it, and
	// secureConnectionBytes what TLS adds.
	connectionBytes       = 48 << 10
	secureConnectionBytes = 32 << 10
	// streamBytes is what a request of HTTP/2 costs beside its message: its goroutine, its headers and its
	// buffers.
	streamBytes = 32 << 10
	// http2WindowBytes is how much a caller may send on an HTTP/2 connection before it is read, and
	// http2StreamWindowBytes on one stream of it.
	http2WindowBytes       = 128 << 10
	http2StreamWindowBytes = 64 << 10
	// http2Bytes is what an HTTP/2 connection costs more than one of HTTP/1.1: its window, and its tables and
	// frames.
	http2Bytes = http2WindowBytes + 64<<10
)

// newMemory returns the bounds of what callers make the process hold.
func newMemory(s *settings.Gateway, log hclog.Logger) *membudget.Budget {
	secure := s.TLS.Callers.IsSet()
	cost := int64(connectionBytes)
	if secure {
		cost += secureConnectionBytes
	}
	machine := membudget.Machine(s.Machine)
	return membudget.New(membudget.Config{
		Now: boottime.Now, Log: log.Named("memory"), Bytes: machine.CallerBytes(), Connections: machine.CallerConnections(),
		ConnectionBytes: cost, MetersHeads: !secure,
	})
}

// newAnswers returns the bounds of what answers make the process hold.
func newAnswers(s *settings.Gateway, log hclog.Logger) answerbudget.Pair {
	forCallers, own := membudget.Machine(s.Machine).Answers(connend.UnreadBytes)
	return answerbudget.NewPair(boottime.Now, log.Named("memory"), forCallers, own)
}

// publishMemory exports what callers and answers make the process hold through expvar.
func publishMemory(memory *membudget.Budget, answers answerbudget.Pair) {
	expvar.Publish("goldcrestspool.callers.memory", expvar.Func(func() any { return memory.State() }))
	expvar.Publish("goldcrestspool.answers.memory", expvar.Func(func() any { return answers.States() }))
}

// shareKey is the context key of a request's share of the memory.
type shareKey struct{}

// withCallerMemory returns a handler that reserves what a request makes the process hold before it is held.
func withCallerMemory(next http.Handler, memory *membudget.Budget, log hclog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share, err := beginShare(w, r, memory)
		switch {
		case errors.Is(err, membudget.ErrYielded):
			// The connection is closed. Nothing of the request has been used.
			panic(http.ErrAbortHandler)
		case err != nil:
			log.Info("request refused", "procedure", r.URL.Path, "error", err)
			writeNoRoom(w, r, err)
			return
		}
		defer share.End()
		if r.Body != http.NoBody {
			r.Body = callerBody{share.LibraryBody(r.Body)}
		} else if share.Whole() != nil {
			panic(http.ErrAbortHandler) // as above
		}
		ctx, held := answerbudget.WithHolder(context.WithValue(r.Context(), shareKey{}, share))
		defer held.End()
		r = r.WithContext(ctx)
		next.ServeHTTP(&unreadEnder{ResponseWriter: w, request: r, share: share}, r)
	})
}

// beginShare returns the share of a request whose head was read.
func beginShare(w http.ResponseWriter, r *http.Request, memory *membudget.Budget) (*membudget.Request, error) {
	conn := membudget.ConnOf(r.Context())
	cost := int64(0)
	if r.ProtoMajor >= 2 {
		if conn != nil && !conn.Multiplex(http2Bytes) {
			return nil, membudget.ErrNoRoom
		}
		cost = streamBytes
	}
	return memory.Begin(conn, cost, http.NewResponseController(w))
}

// withMessageMemory returns a handler that records the client account for a request's share of the memory, and
// reserves what a compressed message may become. maxBody is the longest message after its decompression, in bytes.
func withMessageMemory(next http.Handler, maxBody int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if share, ok := r.Context().Value(shareKey{}).(*membudget.Request); ok {
			share.SetAccount(auth.Account(r.Context()))
			if isCompressed(r.Header) {
				if err := share.Grow(membudget.LibraryCost * maxBody); err != nil {
					writeNoRoom(w, r, err)
					return
				}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// isCompressed reports whether a request's message is compressed, so that it may become far larger than it came.
func isCompressed(header http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// errorWriter answers in the protocol of the request.
var errorWriter = connect.NewErrorWriter()

// retryAfter is the retry-after time of a request that was not run because memory is short, in whole seconds.
var retryAfter = strconv.Itoa(int(math.Ceil(membudget.RetryAfter.Seconds())))

// noRoom returns the error of a request that was not run because memory is short.
func noRoom(err error) *connect.Error {
	refusal := connect.NewError(connect.CodeResourceExhausted, errors.New("the request was not run: "+err.Error()))
	refusal.Meta().Set("Retry-After", retryAfter)
	return refusal
}

// writeNoRoom answers a request that was not run because memory is short.
func writeNoRoom(w http.ResponseWriter, r *http.Request, err error) {
	if !errorWriter.IsSupported(r) {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = errorWriter.Write(w, r, noRoom(err)) // an error means that the caller's connection is gone
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

// unreadEnder ends what the unread body of a refused request costs. A stream of HTTP/2 ends by itself.
type unreadEnder struct {
	http.ResponseWriter
	request *http.Request
	share   *membudget.Request
}

// WriteHeader implements http.ResponseWriter.
func (u *unreadEnder) WriteHeader(status int) {
	if status >= http.StatusBadRequest && u.request.ProtoMajor == 1 {
		u.share.Refused(u.Header(), u.request.ContentLength)
	}
	u.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (u *unreadEnder) Flush() { _ = http.NewResponseController(u.ResponseWriter).Flush() }

// Unwrap lets http.ResponseController reach the connection.
func (u *unreadEnder) Unwrap() http.ResponseWriter { return u.ResponseWriter }
