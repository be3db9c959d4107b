package loopback

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against an address that the kernel gives to another socket between its choice and the start of a process.
func TestAddressesAreOfTheirOwnProcess(t *testing.T) {
	first, second := netip.MustParseAddrPort(Addr()), netip.MustParseAddrPort(Addr())
	if first == second {
		t.Errorf("%v was handed out twice", first)
	}
	taken, err := net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), first.Port()).String())
	if err == nil {
		defer taken.Close()
	}
	for _, addr := range []netip.AddrPort{first, second} {
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			t.Fatalf("listening at %v: %v", addr, err)
		}
		defer listener.Close()
	}
}

// Guards against processes that share a host.
func TestHostsOfProcessesDiffer(t *testing.T) {
	seen := make(map[netip.Addr]int)
	for _, pid := range []int{1, 2, 255, 256, 65_535, 65_536, 4_194_303} {
		addr := host(pid)
		if other, dup := seen[addr]; dup || !addr.IsLoopback() {
			t.Errorf("process %d has %v, as process %d", pid, addr, other)
		}
		seen[addr] = pid
	}
}
