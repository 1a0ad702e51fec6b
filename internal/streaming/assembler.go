package streaming

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// FrameResult says what a frame meant for the answer.
type FrameResult int

// The results of a frame.
const (
	// FrameIgnored: the frame brings nothing new.
	FrameIgnored FrameResult = iota
	// AnswerExtended: the frame added tokens to the answer.
	AnswerExtended
	// AnswerCompleted: the frame completed the answer.
	AnswerCompleted
	// FrameRejected: the attempt is faulty, and none of its later frames may be
	// used.
	FrameRejected
)

// Fault names why an attempt's frames were rejected.
type Fault string

// The faults of an attempt.
const (
	// FaultGap: the frame begins after the next expected index.
	FaultGap Fault = "gap"
	// FaultMismatch: the frame contradicts tokens that the answer already has.
	FaultMismatch Fault = "mix"
	// FaultOverrun: the frame exceeds the answer's length.
	FaultOverrun Fault = "overrun"
	// FaultEarlyDone: the engine reported done before the answer had its
	// length.
	FaultEarlyDone Fault = "early_done"
	// FaultUnknownAttempt: the frame names an attempt that was not opened yet.
	FaultUnknownAttempt Fault = "foreign_attempt"
)

// Assembler builds an answer from the frames of its attempts. It does no input
// or output, and it is not safe for concurrent use.
type Assembler struct {
	answer  []string
	length  uint32
	attempt uint32
	fault   Fault
}

// NewAssembler returns an assembler for an answer of length tokens, of which
// the caller already has the delivered ones. Attempts are numbered from
// attempt+1.
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

// Answer returns the tokens so far. Later frames do not change the returned
// slice.
func (a *Assembler) Answer() []string { return slices.Clip(a.answer) }

// Attempt returns the number of the last opened attempt.
func (a *Assembler) Attempt() uint32 { return a.attempt }

// NextIndex returns the index of the next expected token.
func (a *Assembler) NextIndex() uint32 { return uint32(len(a.answer)) }

// Complete reports whether the answer has its full length.
func (a *Assembler) Complete() bool { return a.NextIndex() >= a.length }

// Fault returns why the current attempt's frames are rejected, or "".
func (a *Assembler) Fault() Fault { return a.fault }

// Accept adds a frame's new tokens to the answer, or ignores or rejects the
// frame.
func (a *Assembler) Accept(f upstream.Frame) FrameResult {
	if a.fault != "" {
		return FrameRejected
	}
	// A frame of an earlier attempt can arrive late, from an engine or a
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

// findFault checks a frame against the answer so far and returns its fault, or
// "".
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
	// An engine that is being killed can still end its stream normally. An
	// answer with fewer tokens than requested is lost, not complete.
	if f.Done && end < uint64(a.length) {
		return FaultEarlyDone
	}
	return ""
}

// extend appends the new part of a checked frame.
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
