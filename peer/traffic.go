package peer

import (
	"sort"
	"sync"
)

// Traffic is the number of message bytes exchanged with one region in one traffic class.
type Traffic struct {
	Region  string
	Class   TrafficClass
	In, Out uint64
}

type trafficKey struct {
	region string
	class  TrafficClass
}

// counters holds the byte counts by region and traffic class.
type counters struct {
	mu   sync.Mutex
	rows map[trafficKey]*Traffic
}

func (c *counters) add(region string, class TrafficClass, in, out int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil {
		c.rows = map[trafficKey]*Traffic{}
	}
	key := trafficKey{region, class}
	row := c.rows[key]
	if row == nil {
		row = &Traffic{Region: region, Class: class}
		c.rows[key] = row
	}
	row.In += uint64(in)
	row.Out += uint64(out)
}

// Traffic returns the bytes counted since the start, ordered by region and traffic class. Frames and datagrams are
// counted without the overhead of QUIC.
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
		return rows[i].Class < rows[j].Class
	})
	return rows
}

func (t *Transport) count(addr string, class TrafficClass, in, out int) {
	region := ""
	if t.config.RegionOf != nil {
		region = t.config.RegionOf(addr)
	}
	t.counters.add(region, class, in, out)
}

// countedStream counts the bytes that are read from and written to a stream.
type countedStream struct {
	stream
	transport *Transport
	conn      *connection
	class     TrafficClass
}

func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	s.transport.count(s.conn.addr, s.class, n, 0)
	s.conn.recordClose(err)
	return n, err
}

func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.stream.Write(p)
	s.transport.count(s.conn.addr, s.class, 0, n)
	s.conn.recordClose(err)
	return n, err
}
