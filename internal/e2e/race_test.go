//go:build e2e && race

package e2e

// raceFlag builds the programs with the race detector if the tests are built with it.
const raceFlag = "-race"
