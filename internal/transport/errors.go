package transport

import (
	"errors"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// reasonHeader carries a Reason beside an error's code.
const reasonHeader = "Goldcrestspool-Reason"

// Reason tells apart errors that share a code. It is part of the protocol.
type Reason string

// NewError returns the error that a handler sends to its client.
func NewError(code connect.Code, reason Reason, err error) *connect.Error {
	wire := connect.NewError(code, err)
	wire.Meta().Set(reasonHeader, string(reason))
	return wire
}

// ReasonOf returns the reason that the server gave with err, or "". Connect
// reads it only from an error in its own format, so that a proxy's error page
// has none.
func ReasonOf(err error) Reason {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return ""
	}
	return Reason(wire.Meta().Get(reasonHeader))
}

// connectCodes pairs the canonical codes with Connect's.
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

// ConnectCode returns Connect's code for a canonical one.
func ConnectCode(code errcode.Code) connect.Code { return connectCodes[code] }

// Code returns the canonical code of an error that a Connect client returned.
func Code(err error) errcode.Code {
	wanted := connect.CodeOf(err)
	for canonical, code := range connectCodes {
		if code == wanted {
			return canonical
		}
	}
	return errcode.Unknown
}
