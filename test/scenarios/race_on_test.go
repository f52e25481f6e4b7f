//go:build race

package scenarios

// raceEnabled builds the programs with the race detector, as the test is.
const raceEnabled = true
