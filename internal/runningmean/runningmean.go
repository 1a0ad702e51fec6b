// Package runningmean averages samples of which the newest count most.
package runningmean

// memory is the number of samples over which a mean is taken.
const memory = 200

// Mean is the mean of the last samples. The zero value has none.
type Mean struct {
	Value   float64
	Samples int
}

// Add adds a sample.
func (m *Mean) Add(x float64) {
	m.Samples++
	m.Value += (x - m.Value) / float64(min(m.Samples, memory))
}

// AddBounded adds a sample that counts as maxRatio times the mean at most.
func (m *Mean) AddBounded(x, maxRatio float64) {
	if m.Samples > 0 {
		x = min(x, maxRatio*m.Value)
	}
	m.Add(x)
}
