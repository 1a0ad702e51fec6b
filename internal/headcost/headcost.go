// Package headcost tells what the head of an HTTP/1.1 message costs the process that reads it.
package headcost

const (
	// LineBytes is what a line of a head costs beside its bytes, which are held twice: its entries in the table of the
	// fields.
	LineBytes = 160
	// ordinaryBytes is the cost of a head up to which it is a part of its connection's.
	ordinaryBytes = 8 << 10
)

// Meter tells what a head costs, as it is read. The zero value is ready to use.
type Meter struct {
	cost int64
	// lineEmpty: nothing but a carriage return was read since the last line ended.
	lineEmpty bool
	ended     bool
}

// Add takes bytes that were read, and returns how much more than an ordinary head they cost.
func (m *Meter) Add(data []byte) (more int64) {
	before := m.Cost()
	for _, c := range data {
		if m.ended {
			break
		}
		m.cost += 2
		switch {
		case c == '\n' && m.lineEmpty:
			m.ended = true
		case c == '\n':
			m.cost += LineBytes
			m.lineEmpty = true
		case c != '\r':
			m.lineEmpty = false
		}
	}
	return m.Cost() - before
}

// Cost returns how much more than an ordinary head the bytes cost so far.
func (m *Meter) Cost() int64 { return max(0, m.cost-ordinaryBytes) }
