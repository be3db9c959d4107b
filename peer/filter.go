package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// FilterConn is a UDP socket for tests. It drops packets on partitioned links and counts the UDP payload bytes of
// others.
type FilterConn struct {
	net.PacketConn
	sent     atomic.Uint64
	received atomic.Uint64

	mu      sync.Mutex
	dropped map[string]bool
}

// ListenFiltered opens a UDP socket as a FilterConn.
func ListenFiltered(addr string) (*FilterConn, error) {
	socket, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, err
	}
	return &FilterConn{PacketConn: socket, dropped: map[string]bool{}}, nil
}

// DropLink drops all packets to and from addr.
func (f *FilterConn) DropLink(addr string) { f.setDropped(addr, true) }

// RestoreLink undoes DropLink: packets to and from addr pass again.
func (f *FilterConn) RestoreLink(addr string) { f.setDropped(addr, false) }

// Bytes returns the UDP payload bytes sent and received so far.
func (f *FilterConn) Bytes() (sent, received uint64) { return f.sent.Load(), f.received.Load() }

func (f *FilterConn) setDropped(addr string, dropped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped[addr] = dropped
}

func (f *FilterConn) isDropped(addr net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped[addr.String()]
}

// ReadFrom implements net.PacketConn.
func (f *FilterConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, addr, err := f.PacketConn.ReadFrom(p)
		if err != nil {
			return n, addr, err
		}
		if f.isDropped(addr) {
			continue
		}
		f.received.Add(uint64(n))
		return n, addr, nil
	}
}

// WriteTo implements net.PacketConn. A packet on a partitioned link is reported as sent but dropped and not counted.
func (f *FilterConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if f.isDropped(addr) {
		return len(p), nil
	}
	f.sent.Add(uint64(len(p)))
	return f.PacketConn.WriteTo(p, addr)
}
