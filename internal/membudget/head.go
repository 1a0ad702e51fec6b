package membudget

const (
	// headLineBytes is what a header line costs beside its bytes, which are held twice: its entries in the
	// table of the headers.
	headLineBytes = 160
	// ordinaryHeadBytes is the cost of a head up to which it is a part of its connection's.
	ordinaryHeadBytes = 8 << 10
)

// headMeter tells what the head of a request costs, as it is read.
type headMeter struct {
	cost int64
	// lineEmpty: nothing but a carriage return was read since the last line ended.
	lineEmpty bool
	ended     bool
}

// add takes bytes that were read, and returns how much more than an ordinary head they cost.
func (m *headMeter) add(data []byte) (more int64) {
	before := max(0, m.cost-ordinaryHeadBytes)
	for _, c := range data {
		if m.ended {
			break
		}
		m.cost += 2
		switch {
		case c == '\n' && m.lineEmpty:
			m.ended = true
		case c == '\n':
			m.cost += headLineBytes
			m.lineEmpty = true
		case c != '\r':
			m.lineEmpty = false
		}
	}
	return max(0, m.cost-ordinaryHeadBytes) - before
}
