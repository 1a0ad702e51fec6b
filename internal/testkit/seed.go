// Package testkit holds helpers that the tests of several packages share: fixed seeds,
// virtual time, servers on loopback, a relay that simulates network faults, and
// certificates. Only test files import it.
package testkit

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// The environment variables that `make fuzz` sets to use other seeds than the fixed one,
// and the fixed one.
const (
	seedVariable   = "FUZZ_SEED"
	checksVariable = "FUZZ_CHECKS"
	fixedSeed      = "1"
)

// shrinkTime bounds rapid's search for a smaller failing run. Where it is measured in
// virtual time, of which a short run takes next to nothing, rapid's default of 30 s
// would last for many real minutes.
const shrinkTime = "5s"

// OneProcessor makes this package's tests run on one processor. Call it where
// tests run timers in synctest bubbles.
//
// The race detector of Go 1.26 uses one context for all timers of a bubble, which is not
// safe while two threads run timers: about one run in fifteen ends with a SIGSEGV or a
// failed check of the detector, also with the standard library alone. The detector finds
// races by happens-before, so that running on one processor hides none.
func OneProcessor() { runtime.GOMAXPROCS(1) }

// FixSeed makes the rapid tests of the calling package start from a fixed seed, or from
// FUZZ_SEED, with FUZZ_CHECKS checks each if that is set. It calls OneProcessor. Call it
// from an init function of a test file that imports rapid.
func FixSeed() {
	OneProcessor()
	setFlag("rapid.shrinktime", shrinkTime)
	setFlag("rapid.seed", envOr(seedVariable, fixedSeed))
	setFlag("rapid.nofailfile", "true")
	if checks := os.Getenv(checksVariable); checks != "" {
		setFlag("rapid.checks", checks)
	}
}

// UseSeed makes one rapid test start from a seed that once failed and make a number of
// checks, whatever FixSeed chose for the package.
func UseSeed(t testing.TB, seed, checks string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks} {
		before := flag.Lookup(name).Value.String()
		setFlag(name, value)
		t.Cleanup(func() { setFlag(name, before) })
	}
}

func envOr(variable, fallback string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return fallback
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testkit: flag " + name + ": " + err.Error())
	}
}
