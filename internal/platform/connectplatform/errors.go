package connectplatform

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// The reasons on the wire.
const (
	reasonUnavailable transport.Reason = "unavailable"
	reasonExpired     transport.Reason = "expired"
	reasonNoCapacity  transport.Reason = "no_capacity"
	reasonOldFence    transport.Reason = "old_fence"
)

// The headers that come with reasonExpired.
const (
	firstHeader = "Goldcrestspool-First-Offset"
	headHeader  = "Goldcrestspool-Head-Offset"
)

// wireErrors maps the platform's errors to their codes and reasons on the wire.
var wireErrors = []struct {
	err    error
	code   connect.Code
	reason transport.Reason
}{
	{platform.ErrUnavailable, connect.CodeUnavailable, reasonUnavailable},
	{platform.ErrExpired, connect.CodeOutOfRange, reasonExpired},
	{platform.ErrNoCapacity, connect.CodeResourceExhausted, reasonNoCapacity},
	{platform.ErrOldFence, connect.CodeFailedPrecondition, reasonOldFence},
}

// toWire returns the error that a handler sends. For ErrAnswerLost it closes the
// connection without an answer, so that the client loses the answer too.
func toWire(err error) error {
	if errors.Is(err, platform.ErrAnswerLost) {
		panic(http.ErrAbortHandler)
	}
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return transport.NewError(w.code, w.reason, err)
		}
	}
	return connect.NewError(transport.ConnectCode(errcode.Of(err)), err)
}

// expiredError returns the error of a read, with the first and head offsets of the log
// in its headers.
func expiredError(batch platform.Batch, err error) error {
	wire := transport.NewError(connect.CodeOutOfRange, reasonExpired, err)
	wire.Meta().Set(firstHeader, strconv.FormatUint(uint64(batch.First), 10))
	wire.Meta().Set(headHeader, strconv.FormatUint(uint64(batch.Head), 10))
	return wire
}

// expiredBatch returns the offsets that expiredError added to an error.
func expiredBatch(err error) (platform.Batch, error) {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return platform.Batch{}, err
	}
	first, err := strconv.ParseUint(wire.Meta().Get(firstHeader), 10, 64)
	if err != nil {
		return platform.Batch{}, err
	}
	head, err := strconv.ParseUint(wire.Meta().Get(headHeader), 10, 64)
	if err != nil {
		return platform.Batch{}, err
	}
	return platform.Batch{First: ident.Offset(first), Head: ident.Offset(head)}, nil
}

// fromWire returns the error of a client's method. It is of the kind uncertain if the
// server sent no reason.
func fromWire(err, uncertain error, operation string) error {
	reason := transport.ReasonOf(err)
	for _, w := range wireErrors {
		if w.reason == reason {
			return wrapKind(w.err, err, operation)
		}
	}
	return wrapKind(uncertain, err, operation)
}

func wrapKind(kind, err error, operation string) error {
	return errcode.Wrap(transport.CodeOf(err), fmt.Errorf("%w: %w", kind, err), operation)
}
