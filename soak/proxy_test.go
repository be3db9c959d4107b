package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode says what a proxy does with connections.
type mode int

const (
	modePass mode = iota
	// modeSlow delays each chunk of bytes.
	modeSlow
	// modeReset resets open and new connections.
	modeReset
	// modeSilent passes nothing in either direction and keeps connections open.
	modeSilent
	// modeDeaf passes requests and holds back answers.
	modeDeaf
	modeCount
)

const slowBy = 120 * time.Millisecond

// proxy forwards TCP connections on loopback to a target, as its mode says.
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
	p.set(modeReset)
}

func (p *proxy) set(m mode) {
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
	back, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[back] = struct{}{}, struct{}{}
	resetNow := p.mode == modeReset
	p.mu.Unlock()
	if resetNow {
		reset(conn)
	}
	go p.copy(back, conn, false)
	p.copy(conn, back, true)
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, back)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.wait(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// wait holds bytes back as the mode says.
func (p *proxy) wait(answers bool) {
	p.mu.Lock()
	if p.mode == modeSlow {
		p.mu.Unlock()
		time.Sleep(slowBy)
		return
	}
	for p.mode == modeSilent || (p.mode == modeDeaf && answers) {
		p.changed.Wait()
	}
	p.mu.Unlock()
}
