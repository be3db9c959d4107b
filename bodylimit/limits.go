// Package bodylimit bounds the memory that request bodies take and the number of open connections. Clients outside anyone's
// control send many large bodies at once, stop short of their end, or keep connections open; the process must stay within
// the memory and the descriptors of its machine and still answer ordinary requests.
package bodylimit

import (
	"syscall"
	"time"
)

// Limits bounds the bodies that a Budget holds.
type Limits struct {
	// Total bounds the sum of the bodies in memory, by the capacity of their buffers.
	Total int64
	// Reserve is the part of Total that only bodies of up to SmallBytes may use.
	Reserve    int64
	SmallBytes int64
	// Ceiling bounds the growth of Total for a limit on single bodies that Total has no room for. 0 means Total.
	Ceiling int64
	// WorkCopies is the number of further copies of a complete body that are counted while its request is handled, for
	// example its parsed form and the message made of it.
	WorkCopies int64
	// StallTimeout is how long a body may make no progress; MinRate is the least average number of bytes per second after
	// rateGrace.
	StallTimeout time.Duration
	MinRate      int64
	// ClaimWait bounds the wait for room.
	ClaimWait time.Duration
}

// Times and rates of bodies that arrive slowly.
const (
	defaultStallTimeout = 10 * time.Second
	// pressureStallTimeout replaces the stall timeout while memory or connections are exhausted.
	pressureStallTimeout = 2 * time.Second
	// defaultMinRate is half of what a link of 32 kbit/s carries.
	defaultMinRate = 2 << 10
	rateGrace      = 10 * time.Second
)

const (
	// claimWait is short, since callers wait for their responses.
	claimWait = time.Second
	// fixedClaimWait includes the time until the memory of an earlier body is collected: the limits for a few large bodies have
	// no room for two.
	fixedClaimWait = collectInterval + claimWait
)

// smallBytes is the size of an ordinary body. Most jobs and requests have less than 4 KiB.
const smallBytes = 16 << 10

// Shares of the memory of the machine. Scheduler instances with 184 MB need up to 120 MB for other work than bodies and
// connections.
const (
	entryShare      = 8
	entryCeiling    = 4
	standaloneShare = 4
	fixedShare      = 8
	connShare       = 6
	// reserveShare is the part of a budget that is reserved for small bodies.
	reserveShare = 4
	// bytesPerConn is the memory of an open connection with the buffers and the goroutine of net/http.
	bytesPerConn = 12 << 10
)

// EntryLimits returns the limits of callers' bodies on a scheduler instance with the given memory in bytes.
func EntryLimits(memory int64) Limits {
	limits := withReserve(memory / entryShare)
	limits.Ceiling = memory / entryCeiling
	// A specification is decoded and encoded for the store.
	limits.WorkCopies = 2
	return limits
}

// StandaloneLimits returns the limits of callers' bodies on a standalone instance. Without a memory limit it is whole.
func StandaloneLimits(memory, whole int64) Limits {
	if memory == 0 {
		return withReserve(whole)
	}
	return withReserve(min(whole, memory/standaloneShare))
}

// FixedLimits returns the limits of a few senders of large bodies of up to maxBody each, such as operators and other
// instances. There is always room for one body, which takes twice its size while its buffer grows.
func FixedLimits(memory, maxBody int64) Limits {
	limits := withReserve(max(memory/fixedShare, 2*maxBody+smallBytes))
	limits.ClaimWait = fixedClaimWait
	return limits
}

func withReserve(total int64) Limits {
	return Limits{
		Total: total, Reserve: total / reserveShare, SmallBytes: smallBytes,
		StallTimeout: defaultStallTimeout, MinRate: defaultMinRate, ClaimWait: claimWait,
	}
}

// WithTotal returns the limits with another total, and the reserve that belongs to it.
func (l Limits) WithTotal(total int64) Limits {
	l.Total, l.Reserve = total, total/reserveShare
	return l
}

// reservedDescriptors are kept for connections to the store, files and the runtime.
const reservedDescriptors = 200

// defaultDescriptors is the limit that is assumed if the process can't read its own: that of the smallest instance.
const defaultDescriptors = 4100

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// MaxConnections returns the default for the number of connections that all listeners of a process accept together. A
// quarter of the descriptors is left for connections to workers. Memory is in bytes, 0 if it is not known.
func MaxConnections(descriptors int, memory int64) int {
	accepted := max(descriptors-reservedDescriptors, 0) * 3 / 4
	if memory > 0 {
		accepted = min(accepted, int(memory/connShare/bytesPerConn))
	}
	return max(accepted, minConnections)
}

// minConnections is the least number of connections that a process or a listener accepts.
const minConnections = 8

// Share returns a percentage of the connections of a process for one listener.
func Share(connections, percent int) int { return max(connections*percent/100, minConnections) }
