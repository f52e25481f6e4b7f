// Package jobs is the leader's state machine for jobs: what was accepted, what
// runs where, what ended, and what to do next. Events go in through methods,
// decisions come out of Take. It does no I/O, takes the time as an argument and
// is not safe for concurrent use; the leader loop is its only user.
package jobs
