// Package scenarios contains scripted failure tests. Each script in testdata runs
// real daemons and stand-ins as separate processes, injects faults and checks the
// promises of docs/design.md with the counters of the stand-ins.
package scenarios
