// Package loopback allocates loopback addresses for the processes that tests start.
//
// An address must stay free from its allocation until the process listens on it, and again while the process is restarted.
// Each test process therefore uses its own loopback host, derived from its process ID, and ports below the kernel's ephemeral
// port range, which no other test process, connection or fake uses.
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// The range of allocated ports.
const (
	firstPort = 15000
	portCount = 15000
)

var allocated atomic.Uint32

// Addr returns an address that has not been allocated before.
func Addr() string {
	index := allocated.Add(1) - 1
	if index >= portCount {
		panic("loopback: all ports are allocated")
	}
	return netip.AddrPortFrom(host(os.Getpid()), uint16(firstPort+index)).String()
}

// host returns the address of a process in 127.64.0.0/10, which does not contain the commonly used 127.0.0.1. Process
// IDs have at most 22 bits.
func host(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&0x3f), byte(pid >> 8), byte(pid)})
}
