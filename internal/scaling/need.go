package scaling

import (
	"math"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
)

// What engines carry when they are as busy as they should be. Reading and generating take
// their time one after the other, so that their parts add up.
const (
	// maxReadingShare is the part of its time that reading prompts may take; beyond it, long
	// prompts that come together make queues. The rate is that beside what else an engine
	// does.
	maxReadingShare = 0.6
	// freeSlotFactor are kept beside the requests that generate, in square roots of their
	// number, so that one who comes finds a slot: callers come in clumps of about three,
	// whose number varies by the square root of three times the mean, and 2.3 such
	// deviations are exceeded once in a hundred moments. What goes wrong with a part of
	// the slots instead: the part that suits engines of many slots asks for several times
	// as many engines of few slots as their requests need.
	freeSlotFactor = 4
)

// Need is how many engines with so many slots a demand keeps as busy as they should be.
func Need(d placement.Demand, figures enginemodel.Figures, slots int) float64 {
	byReading := d.Prompt / (figures.Rate() * maxReadingShare)
	bySlots := (d.Generating + freeSlotFactor*math.Sqrt(d.Generating)) / float64(max(1, slots))
	return byReading + bySlots
}
