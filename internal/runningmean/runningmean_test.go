package runningmean

import "testing"

// Guards against a single sample that moves a mean far, and against a first one that is bounded by nothing known.
func TestSamplesAreBoundedByTheMean(t *testing.T) {
	var m Mean
	m.AddBounded(4, 2)
	m.AddBounded(100, 2)
	if m.Value != 6 || m.Samples != 2 {
		t.Errorf("%+v, want the mean 6 of 4 and 8", m)
	}
}

// Guards against a mean that no longer follows after many samples.
func TestOldSamplesAreForgotten(t *testing.T) {
	var m Mean
	for range 10 * memory {
		m.Add(1)
	}
	for range 5 * memory {
		m.Add(3)
	}
	if m.Value < 2.9 {
		t.Errorf("mean %v, want nearly 3", m.Value)
	}
}
