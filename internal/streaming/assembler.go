package streaming

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// FrameResult says what to do with a frame.
type FrameResult int

// The verdicts.
const (
	// Ignored: the frame brings nothing new.
	FrameIgnored FrameResult = iota
	// Extended: the answer grew.
	AnswerExtended
	// Completed: the answer is whole.
	AnswerCompleted
	// Condemned: the attempt cannot be trusted any more; its later frames
	// must not be used.
	FrameRejected
)

// Fault names why an attempt was condemned.
type Fault string

// The faults of an attempt.
const (
	// FaultGap: the frame begins after the next index.
	FaultGap Fault = "gap"
	// FaultMix: the frame contradicts tokens that were delivered.
	FaultMismatch Fault = "mix"
	// FaultOverrun: the frame goes beyond the answer's length.
	FaultOverrun Fault = "overrun"
	// FaultEarlyDone: the engine said done before the answer's length.
	FaultEarlyDone Fault = "early_done"
	// FaultForeign: the frame is of an attempt that was not opened yet.
	FaultUnknownAttempt Fault = "foreign_attempt"
)

// Assembler puts an answer together from the frames of its attempts. It does
// no input or output, and it is not safe for concurrent use.
type Assembler struct {
	answer  []string
	length  uint32
	attempt uint32
	fault   Fault
}

// NewAssembler returns an assembler for an answer of length tokens, of which
// the caller already has the delivered ones. Attempts count on from attempt.
func NewAssembler(delivered []string, length, attempt uint32) *Assembler {
	return &Assembler{answer: slices.Clone(delivered), length: length, attempt: attempt}
}

// BeginAttempt opens the next attempt and returns its number. Frames of earlier
// attempts are ignored from now on.
func (a *Assembler) BeginAttempt() uint32 {
	a.attempt++
	a.fault = ""
	return a.attempt
}

// Answer returns the tokens so far. The tokens in it never change.
func (a *Assembler) Answer() []string { return slices.Clip(a.answer) }

// Attempt returns the number of the last attempt that was opened.
func (a *Assembler) Attempt() uint32 { return a.attempt }

// NextIndex returns the index of the next token.
func (a *Assembler) NextIndex() uint32 { return uint32(len(a.answer)) }

// Complete reports whether the answer has its full length.
func (a *Assembler) Complete() bool { return a.NextIndex() >= a.length }

// Fault returns why the current attempt was condemned, or "".
func (a *Assembler) Fault() Fault { return a.fault }

// Accept takes a frame in and says what it meant.
func (a *Assembler) Accept(f upstream.Frame) FrameResult {
	if a.fault != "" {
		return FrameRejected
	}
	// A frame of an older attempt can come late, from an engine or a
	// connection that has not noticed that the attempt was given up. Its
	// tokens may differ from those of the current attempt, so a caller
	// would see a mix of two answers.
	if f.Attempt < a.attempt {
		return FrameIgnored
	}
	if f.Attempt > a.attempt {
		return a.reject(FaultUnknownAttempt)
	}
	if f.Heartbeat {
		return FrameIgnored
	}
	if fault := a.findFault(f); fault != "" {
		return a.reject(fault)
	}
	return a.extend(f)
}

// findFault compares a frame with what is known of the answer.
func (a *Assembler) findFault(f upstream.Frame) Fault {
	end := uint64(f.Index) + uint64(len(f.Tokens))
	if f.Index > a.NextIndex() {
		return FaultGap
	}
	if end > uint64(a.length) {
		return FaultOverrun
	}
	known := a.answer[f.Index:]
	overlap := min(len(known), len(f.Tokens))
	if !slices.Equal(known[:overlap], f.Tokens[:overlap]) {
		return FaultMismatch
	}
	// An engine that dies can still close its stream in good order. Fewer
	// tokens than asked for are a loss, not an answer.
	if f.Done && end < uint64(a.length) {
		return FaultEarlyDone
	}
	return ""
}

// extend appends the part of a checked frame that is new.
func (a *Assembler) extend(f upstream.Frame) FrameResult {
	known := len(a.answer) - int(f.Index)
	if known >= len(f.Tokens) {
		return FrameIgnored
	}
	a.answer = append(a.answer, f.Tokens[known:]...)
	if a.Complete() {
		return AnswerCompleted
	}
	return AnswerExtended
}

func (a *Assembler) reject(fault Fault) FrameResult {
	a.fault = fault
	return FrameRejected
}
