package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with connections.
type mode int

const (
	modePass mode = iota
	// modeSlow delays each chunk of bytes.
	modeSlow
	// modeReset resets open and new connections.
	modeReset
	// modeBlackhole passes nothing in either direction and keeps connections open.
	modeBlackhole
	// modeHoldResponses passes requests and holds back responses.
	modeHoldResponses
	modeCount
)

// slowDelay is the delay of each chunk of bytes in modeSlow.
const slowDelay = 120 * time.Millisecond

// proxy forwards TCP connections on loopback to a target and injects the network faults of its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	mode    mode
	conns   map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}

// setMode sets the mode; modeReset also resets all open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for conn := range p.conns {
			reset(conn)
		}
	}
	p.changed.Broadcast()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[upstream] = struct{}{}, struct{}{}
	resetNow := p.mode == modeReset
	p.mu.Unlock()
	if resetNow {
		reset(conn)
	}
	go p.copy(upstream, conn, false)
	p.copy(conn, upstream, true)
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy copies bytes until either connection ends; responses is set for the direction from the target.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.delay(responses)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// delay delays a chunk of bytes according to the mode of the proxy.
func (p *proxy) delay(responses bool) {
	p.mu.Lock()
	if p.mode == modeSlow {
		p.mu.Unlock()
		time.Sleep(slowDelay)
		return
	}
	for p.mode == modeBlackhole || (p.mode == modeHoldResponses && responses) {
		p.changed.Wait()
	}
	p.mu.Unlock()
}
