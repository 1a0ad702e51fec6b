package membudget

import "testing"

// Guards against parts of a machine that add up to more than it has: Go's memory, the program, and what the
// kernel holds unread for callers' connections and long bodies, which is a part of their bytes.
func TestThePartsFitTheMachine(t *testing.T) {
	for _, mib := range []float64{48, 64, 96, 144, 160, 184, 256, 284, 1024, 4096} {
		m := Machine{MemoryMiB: mib, Descriptors: 4100}
		connection := 20<<10 + unreadBytes(smallReceiveBuffer)
		connections := min(int64(m.CallerConnections()), int64(connectionShare*float64(m.CallerBytes()))/connection)
		unread := connections*unreadBytes(smallReceiveBuffer) + m.CallerBytes()/10
		const unreadOfOne = 72 << 10
		answers, own := m.Answers(unreadOfOne)
		unread += int64(answers.Waiting+own.Waiting) * unreadOfOne
		if sum := m.goLimit() + programBytes*2/3 + unread; sum > m.share(1) {
			t.Errorf("%v MiB: Go %d, program and unread %d bytes", mib, m.goLimit(), sum-m.goLimit())
		}
		if live := m.CallerBytes() + answers.Bytes + own.Bytes + idleBytes - programBytes; live > m.goLimit()*9/10 {
			t.Errorf("%v MiB: %d bytes may live at once, Go's limit is %d", mib, live, m.goLimit())
		}
		if m.CallerBytes() < m.share(callerLeastShare) {
			t.Errorf("%v MiB: callers have %d bytes", mib, m.CallerBytes())
		}
		if answers.Bytes < 4<<20 || own.Bytes < 1<<20 || answers.Waiting < 1 {
			t.Errorf("%v MiB: answers have %+v and %+v", mib, answers, own)
		}
	}
}
