package loopback

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against an address that another socket occupies between its allocation and the start of a process.
func TestAddressesBelongToTheirProcess(t *testing.T) {
	first, second := netip.MustParseAddrPort(Addr()), netip.MustParseAddrPort(Addr())
	if first == second {
		t.Errorf("%v was allocated twice", first)
	}
	occupied, err := net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), first.Port()).String())
	if err == nil {
		defer occupied.Close()
	}
	for _, addr := range []netip.AddrPort{first, second} {
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			t.Fatalf("listen on %v: %v", addr, err)
		}
		defer listener.Close()
	}
}

// Guards against two processes that use the same host.
func TestHostsOfProcessesDiffer(t *testing.T) {
	pidByHost := make(map[netip.Addr]int)
	for _, pid := range []int{1, 2, 255, 256, 65_535, 65_536, 4_194_303} {
		addr := host(pid)
		if other, dup := pidByHost[addr]; dup || !addr.IsLoopback() {
			t.Errorf("process %d has %v, the same host as process %d or not a loopback address", pid, addr, other)
		}
		pidByHost[addr] = pid
	}
}
