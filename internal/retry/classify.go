package retry

import (
	"context"
	"errors"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Retryable reports whether a failed attempt may be repeated. sent means that bytes of the request
// have left the process.
//
// A call that isn't idempotent is repeated only if it certainly did not run: the upstream refused
// it, or nothing was sent. An ErrNotSent for a request that was sent contradicts itself, and the
// request counts as sent. Otherwise a bid that ran and whose answer was lost would be placed twice.
func Retryable(err error, idempotent, sent bool) bool {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return false
	case errors.Is(err, upstream.ErrOldFence):
		// A later holder of the lease has a higher fencing number, so every upstream refuses
		// this one.
		return false
	case certainlyNotRun(err, sent):
		return true
	case !idempotent:
		return false
	}
	return worthRepeating(errcode.Of(err))
}

func certainlyNotRun(err error, sent bool) bool {
	if errors.Is(err, upstream.ErrNotSent) {
		return !sent
	}
	return !upstream.MayHaveRun(err)
}

// worthRepeating reports whether another upstream may answer the same request differently.
func worthRepeating(code errcode.Code) bool {
	switch code {
	case errcode.Cancelled, errcode.InvalidArgument, errcode.NotFound,
		errcode.AlreadyExists, errcode.PermissionDenied, errcode.FailedPrecondition,
		errcode.OutOfRange, errcode.Unauthenticated:
		return false
	}
	return true
}
