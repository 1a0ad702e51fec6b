package gateway

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// toWire returns an outcome as callers get it. Each kind has the same number in both
// types.
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

// wireError returns an error as callers get it. An error without a code becomes an
// internal error without its text, which may name addresses.
func wireError(err error) error {
	code := errcode.Of(err)
	if code == errcode.Unknown {
		return errInternal()
	}
	return connect.NewError(transport.ConnectCode(code), err)
}

func errInternal() error { return connect.NewError(connect.CodeInternal, errors.New("internal error")) }
