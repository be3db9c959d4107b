package standin

import (
	"fmt"
	"sync"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// DefaultWorkersPerRack is the size of a rack on the design page.
const DefaultWorkersPerRack = 8

// SiteConfig describes a site of stand-ins.
type SiteConfig struct {
	// DataCentres gives each data centre with its region; Rack is not used.
	DataCentres          []api.Location
	WorkersPerDataCentre int
	WorkersPerRack       int
	Capacity             api.Resources
	// Slots and Connections of 0 stand for the defaults.
	Slots       int
	Connections int
	Clock       clockwork.Clock
	// Seed makes the workers' service times repeatable; each worker draws its own.
	Seed uint64
	// Worker holds the remaining settings of every worker. Worker.Worker, Clock, Objects, Journal, Seed and Registered
	// are set by NewSite.
	Worker WorkerConfig
}

// Site is a platform and its workers on ports of the loopback address.
type Site struct {
	Platform *Platform
	// URL is the address of the platform, for httpbackend.New.
	URL     string
	server  *server
	mu      sync.Mutex
	order   []api.WorkerID
	workers map[api.WorkerID]*Worker
}

// NewSite starts a site. Workers are named <data centre>-w<n> and racks r<n>, both from 0.
func NewSite(config SiteConfig) (*Site, error) {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	setDefault(&config.WorkersPerRack, DefaultWorkersPerRack)
	s := &Site{Platform: NewPlatform(config.Clock), workers: map[api.WorkerID]*Worker{}}
	started, err := startServer(s.Platform.Handler())
	if err != nil {
		return nil, err
	}
	s.server = started
	s.URL = "http://" + started.addr
	for centre := range config.DataCentres {
		for index := range config.WorkersPerDataCentre {
			if err := s.start(config.worker(s.Platform, centre, index)); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	return s, nil
}

func (c SiteConfig) worker(p *Platform, centre, index int) WorkerConfig {
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
	w.Journal = NewJournal(0)
	w.Seed = c.Seed + uint64(centre*c.WorkersPerDataCentre+index)
	w.Registered = p.Directory().PutWorker
	return w
}

func (s *Site) start(config WorkerConfig) error {
	w, err := NewWorker(config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := config.Worker.ID
	if _, known := s.workers[id]; !known {
		s.order = append(s.order, id)
	}
	s.workers[id] = w
	return nil
}

// Worker returns the named worker, or nil.
func (s *Site) Worker(id api.WorkerID) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

// Workers returns all workers in the order of their start.
func (s *Site) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	workers := make([]*Worker, 0, len(s.order))
	for _, id := range s.order {
		workers = append(workers, s.workers[id])
	}
	return workers
}

// Restart makes a worker go away and starts it again: with the same journal, and with another address, Boot and an
// empty memory.
func (s *Site) Restart(id api.WorkerID) (*Worker, error) {
	old := s.Worker(id)
	if old == nil {
		return nil, fault.New(fault.CodeNotFound, "site restart", "no worker %q", id)
	}
	old.Close()
	if err := s.start(old.config); err != nil {
		return nil, err
	}
	return s.Worker(id), nil
}

// Close ends all workers and the platform.
func (s *Site) Close() {
	for _, w := range s.Workers() {
		w.Close()
	}
	s.server.close()
}
