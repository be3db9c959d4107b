package fake

import (
	"fmt"
	"sync"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// DefaultWorkersPerRack is the rack size in the design documentation.
const DefaultWorkersPerRack = 8

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	// DataCentres holds the region and name of each data centre; Rack is ignored.
	DataCentres          []api.Location
	WorkersPerDataCentre int
	WorkersPerRack       int
	Capacity             api.Resources
	// Slots and Connections are limits of each worker; 0 means the defaults.
	Slots       int
	Connections int
	Clock       clockwork.Clock
	// Seed makes the service times reproducible; the seed of each worker is derived from it.
	Seed uint64
	// Worker holds the remaining settings of all workers. NewCluster overwrites Worker.Worker, Clock, Objects, EventLog, Seed
	// and Registered.
	Worker WorkerConfig
}

// Cluster is a fake cluster: a platform and its workers, in one process and on loopback ports.
type Cluster struct {
	Platform *Platform
	// URL is the base URL of the platform, for httpbackend.New.
	URL     string
	server  *server
	mu      sync.Mutex
	ids     []api.WorkerID
	workers map[api.WorkerID]*Worker
}

// NewCluster starts a fake cluster. Workers are named <data centre>-w<n> and racks r<n>, both counted from 0 in each data
// centre.
func NewCluster(config ClusterConfig) (*Cluster, error) {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	setDefault(&config.WorkersPerRack, DefaultWorkersPerRack)
	s := &Cluster{Platform: NewPlatform(config.Clock), workers: map[api.WorkerID]*Worker{}}
	started, err := startServer(s.Platform.Handler(), config.Worker.Bounds)
	if err != nil {
		return nil, err
	}
	s.server = started
	s.URL = "http://" + started.addr
	for centre := range config.DataCentres {
		for index := range config.WorkersPerDataCentre {
			if err := s.startWorker(config.workerConfig(s.Platform, centre, index)); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	return s, nil
}

func (c ClusterConfig) workerConfig(p *Platform, centre, index int) WorkerConfig {
	location := c.DataCentres[centre]
	location.Rack = fmt.Sprintf("r%d", index/c.WorkersPerRack)
	w := c.Worker
	w.Worker = api.Worker{
		ID:          api.WorkerID(fmt.Sprintf("%s-w%d", location.DataCentre, index)),
		Location:    location,
		Capacity:    c.Capacity,
		Slots:       c.Slots,
		Connections: c.Connections,
	}
	w.Clock = c.Clock
	w.Objects = p.Objects()
	w.EventLog = NewEventLog(0)
	w.Seed = c.Seed + uint64(centre*c.WorkersPerDataCentre+index)
	w.Registered = p.Directory().PutWorker
	return w
}

func (s *Cluster) startWorker(config WorkerConfig) error {
	w, err := NewWorker(config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := config.Worker.ID
	if _, known := s.workers[id]; !known {
		s.ids = append(s.ids, id)
	}
	s.workers[id] = w
	return nil
}

// Worker returns the named worker, or nil.
func (s *Cluster) Worker(id api.WorkerID) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

// Workers returns all workers in the order in which they were first started.
func (s *Cluster) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	workers := make([]*Worker, 0, len(s.ids))
	for _, id := range s.ids {
		workers = append(workers, s.workers[id])
	}
	return workers
}

// Restart crashes a worker and starts a new incarnation of it. The event log is kept; the address and Boot change, and
// the attempts and the ownership epoch are lost.
func (s *Cluster) Restart(id api.WorkerID) (*Worker, error) {
	old := s.Worker(id)
	if old == nil {
		return nil, fault.New(fault.CodeNotFound, "site restart", "no worker %q", id)
	}
	old.Close()
	if err := s.startWorker(old.config); err != nil {
		return nil, err
	}
	return s.Worker(id), nil
}

// Close stops all workers and the platform.
func (s *Cluster) Close() {
	for _, w := range s.Workers() {
		w.Close()
	}
	s.server.close()
}
