package membudget

import (
	"runtime/debug"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
)

// How a process shares its machine out. docs/CAPACITY.md adds the parts up.
const (
	// goMemoryShare is the share of the machine's memory that is set as the limit of Go's garbage collector;
	// the rest is for the program itself, its own structures and the kernel's buffers.
	goMemoryShare = 0.7
	// programBytes is what the program itself takes beside Go's memory: its code and data. idleBytes is what
	// the process takes with nobody connected. On small machines they are more than the shares leave.
	programBytes = 24 << 20
	idleBytes    = 32 << 20
	// callerMemoryShare is the share that callers may make the process hold: connections, heads, bodies, and
	// what the kernel holds of them unread.
	callerMemoryShare = 0.35
	// callerDescriptorShare is the share of the file descriptors that callers' connections may take; the rest
	// is for upstreams, peers and files.
	callerDescriptorShare = 0.6
	// callerLeastShare is what callers have at the least, however small the machine is.
	callerLeastShare = 0.1
	// answerShare is the share that answers may make the process hold, as far as what callers hold leaves it within
	// liveShare of Go's limit. Of that, ownAnswerShare is for answers to the process itself: of the platform and of other
	// gateways.
	answerShare    = 0.2
	ownAnswerShare = 0.25
	liveShare      = 0.9
	// waitingShare is the share for what the kernel holds unread of answers that wait for room.
	waitingShare = 0.025
)

// Machine is what a process may use.
type Machine struct {
	// MemoryMiB is the memory in MiB at which the process would be killed.
	MemoryMiB float64
	// Descriptors is how many file descriptors the process may have open.
	Descriptors int
}

// share returns a share of the memory in bytes.
func (m Machine) share(part float64) int64 { return int64(part * m.MemoryMiB * (1 << 20)) }

// goLimit is the limit of Go's garbage collector.
func (m Machine) goLimit() int64 {
	return min(m.share(goMemoryShare), max(m.share(1)-programBytes, m.share(callerLeastShare)))
}

// LimitGo sets the limit of Go's garbage collector.
func (m Machine) LimitGo() { debug.SetMemoryLimit(m.goLimit()) }

// CallerBytes is how much callers may make the process hold: at the most half of what is left beside the idle
// process, since Go's garbage takes as much again.
func (m Machine) CallerBytes() int64 {
	return min(m.share(callerMemoryShare), max((m.share(1)-idleBytes)/2, m.share(callerLeastShare)))
}

// Answers returns what answers that callers wait for may make the process hold, and answers to the process itself. unread
// is how many bytes the kernel holds of one that waits for room.
func (m Machine) Answers(unread int64) (forCallers, own answerbudget.Limits) {
	part := func(share float64) answerbudget.Limits {
		return answerbudget.Limits{Bytes: int64(share * float64(m.answers())), Waiting: int(share * float64(m.share(waitingShare)) / float64(unread))}
	}
	return part(1 - ownAnswerShare), part(ownAnswerShare)
}

// answers is how much all answers may make the process hold.
func (m Machine) answers() int64 {
	const idleGoBytes = idleBytes - programBytes
	return min(m.share(answerShare), int64(liveShare*float64(m.goLimit()))-idleGoBytes-m.CallerBytes())
}

// CallerConnections is how many connections the descriptors allow to callers.
func (m Machine) CallerConnections() int { return int(callerDescriptorShare * float64(m.Descriptors)) }
