package transport

import (
	"errors"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// reasonHeader is the header that holds the Reason of an error.
const reasonHeader = "Goldcrestspool-Reason"

// Reason tells errors with the same code apart. Its values are part of the protocol.
type Reason string

// NewError returns the error that a handler returns to its client, with a code and a
// reason.
func NewError(code connect.Code, reason Reason, err error) *connect.Error {
	wire := connect.NewError(code, err)
	wire.Meta().Set(reasonHeader, string(reason))
	return wire
}

// ReasonOf returns the reason that the server sent with err, or "" if there is none.
// Connect reads headers only from an error in its own format, so that the error page of
// a proxy has no reason.
func ReasonOf(err error) Reason {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return ""
	}
	return Reason(wire.Meta().Get(reasonHeader))
}

// connectCodes maps the canonical codes to Connect's.
var connectCodes = map[errcode.Code]connect.Code{
	errcode.Unknown:            connect.CodeUnknown,
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

// ConnectCode returns Connect's code for a canonical code.
func ConnectCode(code errcode.Code) connect.Code { return connectCodes[code] }

// CodeOf returns the canonical code of an error that a Connect client returned.
func CodeOf(err error) errcode.Code {
	got := connect.CodeOf(err)
	for canonical, code := range connectCodes {
		if code == got {
			return canonical
		}
	}
	return errcode.Unknown
}
