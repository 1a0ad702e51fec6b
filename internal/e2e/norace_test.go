//go:build e2e && !race

package e2e

const raceFlag = "-race=false"
