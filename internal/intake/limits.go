// Package intake decides how many connections and how much memory clients may make a daemon
// hold: which request finds room, which is refused, and which client is evicted for another. It
// has no network code, and time is an argument.
package intake

import "time"

// Limits are the limits of one listener. A limit of 0 does not apply.
type Limits struct {
	// Bytes is the memory that all clients together may hold.
	Bytes int64
	// ReservedBytes is the part of Bytes that only small requests may use, so that they find
	// room while large ones have used up the rest.
	ReservedBytes int64
	// Conns is the number of open connections.
	Conns int
	// MinIdle is how long a connection must have been idle before it may be closed for a new one.
	MinIdle time.Duration
}

const (
	// ConnBytes is reserved for each connection: goroutine stacks, buffers and a short header.
	ConnBytes = 16 << 10
	// BytesPerBodyByte is reserved for each byte of a body: its buffer, and what it decodes to.
	BytesPerBodyByte = 2
	// SmallRequestBytes is what a request may hold, besides ConnBytes, to count as small.
	SmallRequestBytes = 16 << 10
)

// Shares of a process's memory and file descriptors. Idle connections to workers may use another
// 0.4 of the descriptors. The rest remains for the store, for advice and for calls under way.
const (
	memoryShare     = 0.25
	linkMemoryShare = 0.125
	reservedShare   = 0.2
	connMemoryShare = 0.5
	callerFileShare = 0.3
	linkFileShare   = 0.2
	otherFileShare  = 0.02
	// reservedFiles are the descriptors that are not for connections.
	reservedFiles = 200
)

// Least numbers of connections, whatever the limit of descriptors is.
const (
	minCallerConns = 32
	minLinkConns   = 64
	minOtherConns  = 16
)

// Numbers of connections while the limit of descriptors is not known.
const (
	defaultLinkConns  = 1024
	defaultOtherConns = 256
)

// silentLinkTime is how long a connection between daemons must have been silent before it may be
// closed. Links carry several heartbeats in that time.
const silentLinkTime = 2 * time.Second

// CallerLimits returns the limits of the callers' listener of a process with the given memory and
// number of file descriptors, which are 0 when not known.
func CallerLimits(memoryMB int64, maxFiles int) Limits {
	l := memoryLimits(memoryMB, memoryShare)
	l.LimitConns(connsOf(maxFiles, callerFileShare, minCallerConns, 0))
	return l
}

// memoryLimits returns limits for a share of a process's memory.
func memoryLimits(memoryMB int64, share float64) Limits {
	l := Limits{Bytes: int64(share * float64(memoryMB<<20))}
	l.ReservedBytes = int64(reservedShare * float64(l.Bytes))
	l.Conns = int(connMemoryShare * float64(l.Bytes) / ConnBytes)
	return l
}

// LimitConns lowers the limit of connections to n, unless n is 0.
func (l *Limits) LimitConns(n int) {
	if l.Conns == 0 || n > 0 && n < l.Conns {
		l.Conns = n
	}
}

// LargestBody returns the size of the largest body for which there is room while no other client
// holds anything.
func (l Limits) LargestBody() int64 {
	return (l.Bytes - l.ReservedBytes - ConnBytes) / BytesPerBodyByte
}

// LinkLimits returns the limits of the listener for other daemons.
func LinkLimits(memoryMB int64, maxFiles int) Limits {
	l := memoryLimits(memoryMB, linkMemoryShare)
	l.LimitConns(connsOf(maxFiles, linkFileShare, minLinkConns, defaultLinkConns))
	l.MinIdle = silentLinkTime
	return l
}

// OperatorLimits returns the limits of the listeners for the load balancer and for metrics.
func OperatorLimits(maxFiles int) Limits {
	return Limits{Conns: connsOf(maxFiles, otherFileShare, minOtherConns, defaultOtherConns)}
}

// connsOf returns a share of the descriptors for connections, but at least least, and unknown if
// their number is not known.
func connsOf(maxFiles int, share float64, least, unknown int) int {
	if maxFiles == 0 {
		return unknown
	}
	return max(int(share*float64(maxFiles-reservedFiles)), least)
}
