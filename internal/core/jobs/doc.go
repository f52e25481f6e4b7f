// Package jobs is the leader's state machine for jobs. It records which jobs
// were accepted, where their tasks run and which have ended, and decides what
// to start, stop or ask for next. Events enter through methods of Core; the
// resulting actions are fetched with TakeActions and the records to store with
// TakeBatch. The package does no I/O, takes the time as an argument and is not
// safe for concurrent use; only the leader loop uses it.
package jobs
