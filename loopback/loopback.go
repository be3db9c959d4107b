// Package loopback hands out addresses on which tests start processes of their own.
//
// An address has to stay free from its choice until the process listens there, and again while the process is restarted. So each
// test process uses a loopback host of its own, named after its process id, and ports below the range from which the kernel
// takes ports of its own choice: no other test process, connection or stand-in uses them.
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// The ports that are handed out.
const (
	firstPort = 15000
	portCount = 15000
)

var handedOut atomic.Uint32

// Addr returns an address that was not handed out before.
func Addr() string {
	number := handedOut.Add(1) - 1
	if number >= portCount {
		panic("loopback: all ports are handed out")
	}
	return netip.AddrPortFrom(host(os.Getpid()), uint16(firstPort+number)).String()
}

// host returns an address of 127.64.0.0/10, which leaves the usual 127.0.0.1 to others. Process ids have 22 bits at the most.
func host(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&0x3f), byte(pid >> 8), byte(pid)})
}
