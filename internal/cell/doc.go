// Package cell runs a daemon of a cell whose lasting state is in the platform's
// metadata store. One daemon leads: it keeps all jobs and orders the workers.
// Every daemon takes callers' requests and passes them to the leader.
package cell
