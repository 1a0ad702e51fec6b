package capacity

import (
	"flag"
	"os"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
)

// fleetFile names the file to which TestFleets writes the figures of fleets of all sizes.
var fleetFile = flag.String("fleets", "", "file for the figures of fleets of all sizes")

// target makes TestFleets run the fleet of the target's size as well, which takes over two
// minutes.
var target = flag.Bool("target", false, "run the fleet of the target's size as well")

// TestMain runs the small fleet on one processor: the race detector of Go 1.26 crashes if two
// threads run timers of a synctest bubble at once; see controllers/membership. The large fleets
// run without the race detector and on all processors.
func TestMain(m *testing.M) {
	flag.Parse()
	if *fleetFile == "" && !*target {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}

// controlBytes is the budget of control traffic of one node, in bytes per second.
const controlBytes = 24_000

// TestFleets runs whole fleets of membership controllers in virtual time.
// At today's size the heartbeats must stay within the budget.
func TestFleets(t *testing.T) {
	sizes := fleetSizes[:1]
	if *fleetFile != "" {
		sizes = fleetSizes
	}
	if *target {
		sizes = append(slices.Clone(sizes), entrySizes[len(entrySizes)-1])
	}
	all := figuresBySize{}
	for _, entries := range sizes {
		synctest.Test(t, func(t *testing.T) { all[entries] = runFleet(entries) })
		t.Logf("%d entries: %+v", entries, all[entries])
	}
	if today := all[fleetSizes[0]]; today.Bytes > controlBytes || today.Exchanges == 0 {
		t.Errorf("heartbeats at today's size: %+v, want at most %d B/s", today, controlBytes)
	}
	if *fleetFile == "" {
		return
	}
	if err := all.write(*fleetFile); err != nil {
		t.Fatal(err)
	}
}
