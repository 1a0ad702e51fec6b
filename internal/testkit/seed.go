// Package testkit holds what the tests of several packages share: fixed seeds,
// bubbles of virtual time, loopback servers, a relay that loses connections,
// and certificates. Only test files import it.
package testkit

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// The environment that `make fuzz` sets to leave the fixed seed.
const (
	seedVariable   = "FUZZ_SEED"
	checksVariable = "FUZZ_CHECKS"
	fixedSeed      = "1"
)

// shrinkTime bounds the search for a smaller failing run. It passes in virtual
// time, of which a short run takes next to nothing: rapid's default of 30 s
// would last for many real minutes.
const shrinkTime = "5s"

// OneProcessor makes this package's tests run on one processor. Call it where
// tests run timers in synctest bubbles.
//
// The race detector of Go 1.26 gives all timers of a bubble one context, which
// is not safe when two threads run timers at once: it ends the test binary with
// a SIGSEGV or a failed check of its own (seen in about one run of fifteen, also
// with the standard library alone). Races are found by happens-before, so that
// one processor hides none of them.
func OneProcessor() { runtime.GOMAXPROCS(1) }

// FixSeed makes rapid's tests of this package start from a fixed seed, or from
// FUZZ_SEED with FUZZ_CHECKS runs each. Call it from an init function of a
// test file that imports rapid.
func FixSeed() {
	OneProcessor()
	setFlag("rapid.shrinktime", shrinkTime)
	setFlag("rapid.seed", envOr(seedVariable, fixedSeed))
	setFlag("rapid.nofailfile", "true")
	if checks := os.Getenv(checksVariable); checks != "" {
		setFlag("rapid.checks", checks)
	}
}

// UseSeed makes rapid's checks of one test start from a seed that once failed,
// with so many runs, whatever FixSeed chose for the package.
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
