// Package cell runs a daemon of a cell. The daemons store their persistent state in
// the platform's metadata store and elect one of them as leader. The leader schedules
// all jobs and calls the workers. Every daemon accepts requests of callers and
// forwards them to the leader.
package cell
