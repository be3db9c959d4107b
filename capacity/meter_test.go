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

// meter counts the TCP payload bytes, in both directions, of the connections that its HTTP client opens.
type meter struct {
	bytes atomic.Int64
	// partitioned makes every connection and every write fail.
	partitioned atomic.Bool
}

var errPartitioned = fault.New(fault.CodeUnreachable, "connection", "dropped by the benchmark")

func (m *meter) client() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 32,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if m.partitioned.Load() {
				return nil, errPartitioned
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
	if c.meter.partitioned.Load() {
		return 0, errPartitioned
	}
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// meteredTable counts the calls to a table. A List counts as one read.
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

// cpuTime returns the user and system CPU time of this process.
func cpuTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the bytes of live heap objects after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// residentMemory returns the bytes that the Go runtime has obtained from the operating system and not returned: heap,
// stacks and garbage collector metadata.
func residentMemory() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.Sys - stats.HeapReleased)
}
