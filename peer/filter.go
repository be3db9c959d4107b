package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// FilterConn is a socket for tests that drops packets on cut links and counts the UDP payload that passes.
type FilterConn struct {
	net.PacketConn
	sent     atomic.Uint64
	received atomic.Uint64

	mu  sync.Mutex
	cut map[string]bool
}

// ListenFiltered opens a UDP socket with a filter.
func ListenFiltered(addr string) (*FilterConn, error) {
	socket, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, err
	}
	return &FilterConn{PacketConn: socket, cut: map[string]bool{}}, nil
}

// CutLink drops all packets to and from addr.
func (f *FilterConn) CutLink(addr string) { f.setCut(addr, true) }

// RestoreLink ends CutLink.
func (f *FilterConn) RestoreLink(addr string) { f.setCut(addr, false) }

// Bytes returns the UDP payload bytes sent and received so far.
func (f *FilterConn) Bytes() (sent, received uint64) { return f.sent.Load(), f.received.Load() }

func (f *FilterConn) setCut(addr string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[addr] = cut
}

func (f *FilterConn) isCut(addr net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[addr.String()]
}

// ReadFrom implements net.PacketConn.
func (f *FilterConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, addr, err := f.PacketConn.ReadFrom(p)
		if err != nil {
			return n, addr, err
		}
		if f.isCut(addr) {
			continue
		}
		f.received.Add(uint64(n))
		return n, addr, nil
	}
}

// WriteTo implements net.PacketConn. A packet on a cut link counts as sent by the caller but leaves no trace.
func (f *FilterConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if f.isCut(addr) {
		return len(p), nil
	}
	f.sent.Add(uint64(len(p)))
	return f.PacketConn.WriteTo(p, addr)
}
