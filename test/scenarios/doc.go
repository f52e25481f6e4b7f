// Package scenarios holds scripted failure tests. Each script in testdata runs
// real daemons and stand-ins as separate processes, injects faults into them
// and checks the promises of docs/design.md with the stand-ins' own counters.
package scenarios
