package peer

import (
	"sort"
	"sync"
)

// Traffic is the number of bytes of messages exchanged with one region for one purpose.
type Traffic struct {
	Region  string
	Purpose Purpose
	In, Out uint64
}

type trafficKey struct {
	region  string
	purpose Purpose
}

type counters struct {
	mu   sync.Mutex
	rows map[trafficKey]*Traffic
}

func (c *counters) add(region string, purpose Purpose, in, out int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil {
		c.rows = map[trafficKey]*Traffic{}
	}
	key := trafficKey{region, purpose}
	row := c.rows[key]
	if row == nil {
		row = &Traffic{Region: region, Purpose: purpose}
		c.rows[key] = row
	}
	row.In += uint64(in)
	row.Out += uint64(out)
}

// Traffic returns the bytes so far by region and purpose, ordered by both. They count frames and datagrams without
// QUIC's own overhead.
func (t *Transport) Traffic() []Traffic {
	t.counters.mu.Lock()
	defer t.counters.mu.Unlock()
	rows := make([]Traffic, 0, len(t.counters.rows))
	for _, row := range t.counters.rows {
		rows = append(rows, *row)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Region != rows[j].Region {
			return rows[i].Region < rows[j].Region
		}
		return rows[i].Purpose < rows[j].Purpose
	})
	return rows
}

func (t *Transport) count(addr string, purpose Purpose, in, out int) {
	region := ""
	if t.config.RegionOf != nil {
		region = t.config.RegionOf(addr)
	}
	t.counters.add(region, purpose, in, out)
}

// countedStream counts the bytes of a stream as they pass.
type countedStream struct {
	stream
	transport *Transport
	conn      *connection
	purpose   Purpose
}

func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	s.transport.count(s.conn.addr, s.purpose, n, 0)
	s.conn.noteEnd(err)
	return n, err
}

func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.stream.Write(p)
	s.transport.count(s.conn.addr, s.purpose, 0, n)
	s.conn.noteEnd(err)
	return n, err
}
