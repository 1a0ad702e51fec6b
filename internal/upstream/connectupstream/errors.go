package connectupstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// The reasons on the wire. Each means that the upstream ran nothing.
const (
	reasonLeaving  transport.Reason = "leaving"
	reasonOldFence transport.Reason = "old_fence"
	reasonRefused  transport.Reason = "refused"
)

// wireErrors maps refusals to their codes and reasons on the wire. ErrRefused comes
// last because the other errors match it too.
var wireErrors = []struct {
	err    error
	code   connect.Code
	reason transport.Reason
}{
	{upstream.ErrLeaving, connect.CodeUnavailable, reasonLeaving},
	{upstream.ErrOldFence, connect.CodeFailedPrecondition, reasonOldFence},
	{upstream.ErrRefused, connect.CodeFailedPrecondition, reasonRefused},
}

// refusalToWire returns the error that a handler sends for a refused request. On any
// other failure it closes the connection without an answer, so that the client knows no
// more than after the crash of a real upstream.
func refusalToWire(ctx context.Context, err error) error {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return transport.NewError(w.code, w.reason, err)
		}
	}
	if ctx.Err() != nil {
		return connect.NewError(connect.CodeCanceled, err)
	}
	panic(http.ErrAbortHandler)
}

// fromWire returns the error of a client's method. It recognizes refusals that the
// upstream itself sent and requests that were certainly not sent. After any other error
// the request may have run.
func fromWire(err error, attempt *transport.Attempt, operation string) error {
	reason := transport.ReasonOf(err)
	for _, w := range wireErrors {
		if w.reason == reason {
			return wrapKind(w.err, err, operation)
		}
	}
	if attempt.NotSent() {
		return wrapKind(upstream.ErrNotSent, err, operation)
	}
	return wrapUncertain(err, operation)
}

func wrapKind(kind, err error, operation string) error {
	return errcode.Wrap(transport.CodeOf(err), fmt.Errorf("%w: %w", kind, err), operation)
}

func wrapUncertain(err error, operation string) error {
	return errcode.Wrap(transport.CodeOf(err), err, operation)
}
