// Package errcode gives errors a canonical code where they arise.
//
// The code is kept when the error is wrapped, so that the outermost layer of the
// process can translate it for a caller without reading the error's text.
package errcode

import (
	"errors"

	pkgerrors "github.com/pkg/errors"
)

// Code is a canonical error code, with the meaning it has in gRPC.
type Code int

// The codes in use.
const (
	Unknown Code = iota
	Cancelled
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unavailable
	Internal
	Unauthenticated
)

// names holds the codes' names in logs, in the order of the constants.
var names = [...]string{
	"unknown", "cancelled", "invalid_argument", "deadline_exceeded", "not_found", "already_exists",
	"permission_denied", "resource_exhausted", "failed_precondition", "aborted", "out_of_range",
	"unavailable", "internal", "unauthenticated",
}

// String returns the code's name, that of Unknown for a number that is no code.
func (c Code) String() string {
	if c < 0 || int(c) >= len(names) {
		return names[Unknown]
	}
	return names[c]
}

// coded is an error with a code. The error inside has the stack of its origin.
type coded struct {
	code Code
	err  error
}

func (c *coded) Error() string { return c.err.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (c *coded) Unwrap() error { return c.err }

// New returns an error with a code and the caller's stack.
func New(code Code, message string) error {
	return &coded{code: code, err: pkgerrors.New(message)}
}

// Errorf returns a formatted error with a code and the caller's stack.
func Errorf(code Code, format string, args ...any) error {
	return &coded{code: code, err: pkgerrors.Errorf(format, args...)}
}

// Wrap returns err with a code, and with message before its text. It returns nil for a
// nil err.
func Wrap(code Code, err error, message string) error {
	if err == nil {
		return nil
	}
	return &coded{code: code, err: pkgerrors.WithMessage(err, message)}
}

// Of returns the outermost code of err, or Unknown if it has none.
func Of(err error) Code {
	var c *coded
	if errors.As(err, &c) {
		return c.code
	}
	return Unknown
}
