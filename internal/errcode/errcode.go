// Package errcode gives every error a canonical code where it arises.
//
// The code travels with the error through wrapping (pkg/errors), so that the
// edge of the process can translate it without looking at texts.
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

// names are the codes' names in logs, in the order of the constants.
var names = [...]string{
	"unknown", "cancelled", "invalid_argument", "deadline_exceeded", "not_found", "already_exists",
	"permission_denied", "resource_exhausted", "failed_precondition", "aborted", "out_of_range",
	"unavailable", "internal", "unauthenticated",
}

// String returns the code's name.
func (c Code) String() string {
	if c < 0 || int(c) >= len(names) {
		return names[Unknown]
	}
	return names[c]
}

// coded is an error with a code and the stack where it arose.
type coded struct {
	code Code
	err  error
}

func (c *coded) Error() string { return c.err.Error() }

// Unwrap gives errors.Is and errors.As access to the cause.
func (c *coded) Unwrap() error { return c.err }

// New returns an error with a code and the caller's stack.
func New(code Code, message string) error {
	return &coded{code: code, err: pkgerrors.New(message)}
}

// Errorf returns a formatted error with a code and the caller's stack.
func Errorf(code Code, format string, args ...any) error {
	return &coded{code: code, err: pkgerrors.Errorf(format, args...)}
}

// Wrap gives err a code and a message. It returns nil for a nil err.
func Wrap(code Code, err error, message string) error {
	if err == nil {
		return nil
	}
	return &coded{code: code, err: pkgerrors.WithMessage(err, message)}
}

// Of returns the outermost code of err, or Unknown.
func Of(err error) Code {
	var c *coded
	if errors.As(err, &c) {
		return c.code
	}
	return Unknown
}
