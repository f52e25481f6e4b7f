//go:build !race

package scenarios

// raceEnabled reports whether the tests are built with the race detector; the programs
// are built in the same way.
const raceEnabled = false
