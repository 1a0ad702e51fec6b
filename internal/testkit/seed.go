// Package testkit helps tests to give the same verdict at every run. Only
// test files import it.
package testkit

import (
	"flag"
	"os"
)

// The environment that `make fuzz` sets to leave the fixed seed.
const (
	seedVariable   = "FUZZ_SEED"
	checksVariable = "FUZZ_CHECKS"
	fixedSeed      = "1"
)

// FixSeed makes rapid's tests of this package start from a fixed seed, or from
// FUZZ_SEED with FUZZ_CHECKS runs each. Call it from an init function of a
// test file that imports rapid.
func FixSeed() {
	set("rapid.seed", valueOr(seedVariable, fixedSeed))
	set("rapid.nofailfile", "true")
	if checks := os.Getenv(checksVariable); checks != "" {
		set("rapid.checks", checks)
	}
}

func valueOr(variable, fallback string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return fallback
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testkit: flag " + name + ": " + err.Error())
	}
}
