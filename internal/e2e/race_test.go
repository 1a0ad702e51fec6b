//go:build e2e && race

package e2e

// raceFlag builds the programs with the race detector where the tests have it.
const raceFlag = "-race"
