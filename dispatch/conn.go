package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// connBufferSize is the size in bytes of the read and write buffers of a connection.
const connBufferSize = 4 << 10

// endpointConn is a connection to an endpoint that records whether the current exchange has written or read any byte.
type endpointConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// wrote and read are set once the current exchange has written or read a byte.
	wrote bool
	read  bool
	// readRemaining is the number of bytes that may still be read before the read limit is reached.
	readRemaining int64
	idleSince     time.Time
}

func newEndpointConn(raw net.Conn) *endpointConn {
	c := &endpointConn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, connBufferSize)
	c.writer = bufio.NewWriterSize(c, connBufferSize)
	return c
}

// startExchange clears the state of the previous exchange.
func (c *endpointConn) startExchange() {
	c.wrote, c.read = false, false
	c.writer.Reset(c)
}

// setReadLimit sets the number of bytes that may be read until its next call.
func (c *endpointConn) setReadLimit(bytes int64) { c.readRemaining = bytes }

// Write implements io.Writer. A write of which the kernel accepted no byte has sent nothing.
func (c *endpointConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

// Read implements io.Reader. It fails once the read limit is reached.
func (c *endpointConn) Read(p []byte) (int, error) {
	if c.readRemaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if int64(len(p)) > c.readRemaining {
		p = p[:c.readRemaining]
	}
	n, err := c.Conn.Read(p)
	c.readRemaining -= int64(n)
	if n > 0 {
		c.read = true
	}
	return n, err
}

func (c *endpointConn) send(outgoing *http.Request) error {
	if err := outgoing.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// hasUnreadBytes reports whether bytes after the end of the response are buffered.
func (c *endpointConn) hasUnreadBytes() bool { return c.reader.Buffered() > 0 }

// usable reports whether an idle connection is still open and has no unread bytes. A request on a connection that the
// endpoint closed would end with an unknown outcome; unread bytes are a duplicate response.
func (c *endpointConn) usable() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// pool keeps idle connections per address and returns the most recently used one first.
type pool struct {
	maxIdle     int
	idleTimeout time.Duration
	done        chan struct{}

	mu     sync.Mutex
	closed bool
	idle   map[string][]*endpointConn
}

func newPool(maxIdle int, idleTimeout time.Duration) *pool {
	p := &pool{maxIdle: maxIdle, idleTimeout: idleTimeout, done: make(chan struct{}), idle: map[string][]*endpointConn{}}
	go p.sweep()
	return p
}

func (p *pool) get(addr string) *endpointConn {
	for conn := p.pop(addr); conn != nil; conn = p.pop(addr) {
		_ = conn.SetDeadline(time.Time{})
		if conn.usable() {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (p *pool) pop(addr string) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[addr] = conns[:len(conns)-1]
	return last
}

func (p *pool) put(addr string, conn *endpointConn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle[addr]) < p.maxIdle
	if keep {
		p.idle[addr] = append(p.idle[addr], conn)
	}
	p.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
}

// sweep closes connections that were idle for longer than idleTimeout, so that connections to replaced tasks do not
// accumulate.
func (p *pool) sweep() {
	ticker := time.NewTicker(p.idleTimeout)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.closeIdle(now.Add(-p.idleTimeout))
		case <-p.done:
			return
		}
	}
}

func (p *pool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if conn.idleSince.Before(before) {
				_ = conn.Close()
			} else {
				kept = append(kept, conn)
			}
		}
		clear(conns[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, conns := range p.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	p.idle = nil
}
