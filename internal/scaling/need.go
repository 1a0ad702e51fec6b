package scaling

import (
	"math"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
)

// The load of engines that are as busy as they should be. An engine reads prompts and
// generates in turn, so that the engines needed for each are added up.
const (
	// maxReadingShare is the share of an engine's time that may go into reading prompts.
	// The reading rate is the rate at which an engine reads beside its other work. Above
	// this share, long prompts that arrive together form queues.
	maxReadingShare = 0.6
	// freeSlotFactor, times the square root of the number of generating requests, is how
	// many slots are kept free for new requests. Callers arrive in clusters of about three,
	// so that the standard deviation of their number is the square root of three times the
	// mean, and 2.3 standard deviations (2.3 * sqrt(3) is 4) are exceeded 1 % of the time.
	// A fixed share of the slots would not do: a share that suits engines with many slots
	// asks for several times as many engines with few slots as their requests need.
	freeSlotFactor = 4
)

// Need returns the number of engines, each with the given number of slots, that are as busy
// with a demand as they should be.
func Need(d placement.Demand, figures enginemodel.Estimate, slots int) float64 {
	byReading := d.PromptTokensPerSecond / (figures.Rate() * maxReadingShare)
	bySlots := (d.Generating + freeSlotFactor*math.Sqrt(d.Generating)) / float64(max(1, slots))
	return byReading + bySlots
}
