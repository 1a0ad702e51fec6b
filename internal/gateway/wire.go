package gateway

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// toWire returns an outcome as callers get it. The kinds share their numbers.
func toWire(o outcome.Outcome) *callerv1.Outcome {
	w := &callerv1.Outcome{
		Kind:    callerv1.OutcomeKind(o.Kind),
		Reason:  string(o.Reason),
		Message: o.Message,
	}
	if !o.Kind.Final() {
		w.RetryAfter = durationpb.New(o.RetryAfter)
	}
	return w
}

// wireCodes maps canonical codes to those of the callers' protocol.
var wireCodes = map[errcode.Code]connect.Code{
	errcode.Cancelled:          connect.CodeCanceled,
	errcode.InvalidArgument:    connect.CodeInvalidArgument,
	errcode.DeadlineExceeded:   connect.CodeDeadlineExceeded,
	errcode.NotFound:           connect.CodeNotFound,
	errcode.AlreadyExists:      connect.CodeAlreadyExists,
	errcode.PermissionDenied:   connect.CodePermissionDenied,
	errcode.ResourceExhausted:  connect.CodeResourceExhausted,
	errcode.FailedPrecondition: connect.CodeFailedPrecondition,
	errcode.Aborted:            connect.CodeAborted,
	errcode.OutOfRange:         connect.CodeOutOfRange,
	errcode.Unavailable:        connect.CodeUnavailable,
	errcode.Internal:           connect.CodeInternal,
	errcode.Unauthenticated:    connect.CodeUnauthenticated,
}

// wireError returns an error as callers get it. Texts of errors without a
// code stay inside: they may name addresses.
func wireError(err error) error {
	code, ok := wireCodes[errcode.Of(err)]
	if !ok {
		return errInternal()
	}
	return connect.NewError(code, err)
}

func errInternal() error { return connect.NewError(connect.CodeInternal, errors.New("internal error")) }
