package capacity

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bronzehook/backend"
	"bronzehook/fault"
)

// meter counts the TCP payload bytes, in both directions, of the connections that its client opens.
type meter struct {
	bytes atomic.Int64
	// cut makes every connection fail.
	cut atomic.Bool
}

var errCut = fault.New(fault.CodeUnreachable, "connection", "cut by the benchmark")

func (m *meter) client() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 32,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if m.cut.Load() {
				return nil, errCut
			}
			conn, err := dialer.DialContext(ctx, network, addr)
			return &meteredConn{Conn: conn, meter: m}, err
		},
	}}
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if c.meter.cut.Load() {
		return 0, errCut
	}
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// meteredTable counts the calls to a table; a List is one read.
type meteredTable struct {
	backend.Table
	reads, writes *atomic.Int64
}

func (t meteredTable) Get(ctx context.Context, key string) (backend.Row, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

func (t meteredTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	t.reads.Add(1)
	return t.Table.List(ctx, prefix)
}

func (t meteredTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	t.writes.Add(1)
	return t.Table.Commit(ctx, txn)
}

// processorTime returns the user and system time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of live heap objects after a collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// resident returns the bytes that the runtime holds from the operating system: heap, stacks and the collector's own.
func resident() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.Sys - stats.HeapReleased)
}
