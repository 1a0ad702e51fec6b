package streaming

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Verdict says what to do with a frame.
type Verdict int

// The verdicts.
const (
	// Ignored: the frame brings nothing new.
	Ignored Verdict = iota
	// Extended: the answer grew.
	Extended
	// Completed: the answer is whole.
	Completed
	// Condemned: the attempt cannot be trusted any more; its later frames
	// must not be used.
	Condemned
)

// Fault names why an attempt was condemned.
type Fault string

// The faults of an attempt.
const (
	// FaultGap: the frame begins after the next index.
	FaultGap Fault = "gap"
	// FaultMix: the frame contradicts tokens that were delivered.
	FaultMix Fault = "mix"
	// FaultOverrun: the frame goes beyond the answer's length.
	FaultOverrun Fault = "overrun"
	// FaultEarlyDone: the engine said done before the answer's length.
	FaultEarlyDone Fault = "early_done"
	// FaultForeign: the frame is of an attempt that was not opened yet.
	FaultForeign Fault = "foreign_attempt"
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

// Begin opens the next attempt and returns its number. Frames of earlier
// attempts are ignored from now on.
func (a *Assembler) Begin() uint32 {
	a.attempt++
	a.fault = ""
	return a.attempt
}

// Answer returns the tokens so far. The tokens in it never change.
func (a *Assembler) Answer() []string { return slices.Clip(a.answer) }

// Attempt returns the number of the last attempt that was opened.
func (a *Assembler) Attempt() uint32 { return a.attempt }

// Next returns the index of the next token.
func (a *Assembler) Next() uint32 { return uint32(len(a.answer)) }

// Whole reports whether the answer has its full length.
func (a *Assembler) Whole() bool { return a.Next() >= a.length }

// Fault returns why the current attempt was condemned, or "".
func (a *Assembler) Fault() Fault { return a.fault }

// Accept takes a frame in and says what it meant.
func (a *Assembler) Accept(f upstream.Frame) Verdict {
	if a.fault != "" {
		return Condemned
	}
	// A frame of an older attempt can come late, from an engine or a
	// connection that has not noticed that the attempt was given up. Its
	// tokens may differ from those of the current attempt, so a caller
	// would see a mix of two answers.
	if f.Attempt < a.attempt {
		return Ignored
	}
	if f.Attempt > a.attempt {
		return a.condemn(FaultForeign)
	}
	if f.Heartbeat {
		return Ignored
	}
	if fault := a.check(f); fault != "" {
		return a.condemn(fault)
	}
	return a.extend(f)
}

// check compares a frame with what is known of the answer.
func (a *Assembler) check(f upstream.Frame) Fault {
	end := uint64(f.Index) + uint64(len(f.Tokens))
	if f.Index > a.Next() {
		return FaultGap
	}
	if end > uint64(a.length) {
		return FaultOverrun
	}
	known := a.answer[f.Index:]
	overlap := min(len(known), len(f.Tokens))
	if !slices.Equal(known[:overlap], f.Tokens[:overlap]) {
		return FaultMix
	}
	// An engine that dies can still close its stream in good order. Fewer
	// tokens than asked for are a loss, not an answer.
	if f.Done && end < uint64(a.length) {
		return FaultEarlyDone
	}
	return ""
}

// extend appends the part of a checked frame that is new.
func (a *Assembler) extend(f upstream.Frame) Verdict {
	known := len(a.answer) - int(f.Index)
	if known >= len(f.Tokens) {
		return Ignored
	}
	a.answer = append(a.answer, f.Tokens[known:]...)
	if a.Whole() {
		return Completed
	}
	return Extended
}

func (a *Assembler) condemn(fault Fault) Verdict {
	a.fault = fault
	return Condemned
}
