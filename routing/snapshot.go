package routing

import (
	"time"

	"bronzehook/api"
)

// candidate is one endpoint of a snapshot with its load.
type candidate struct {
	endpoint  api.Endpoint
	slots     int
	published Load
	tracker   *Tracker
}

// tier numbers the distance of an endpoint.
type tier int

const (
	tierOwn tier = iota
	tierDataCentre
	tierRegion
	tierRemote
	tierCount
)

// serviceView holds the endpoints of one service by distance.
type serviceView struct {
	tiers [tierCount][]candidate
}

// Snapshot is an immutable view of all endpoints as seen from one instance. The trackers behind it are live, so that a
// burst between two snapshots does not land on one endpoint.
type Snapshot struct {
	costs    Costs
	services map[string]*serviceView
	capacity int
	own      int
}

// Costs says what it costs to leave the region.
type Costs struct {
	// RegionRoundTrip is the added time of a request to another region.
	RegionRoundTrip time.Duration
	// PerKilobyte is the waiting time that has to be saved for each 1000 bytes sent over the region link, which is
	// shared and billed by volume.
	PerKilobyte time.Duration
}

// DefaultCosts returns 24 ms for the round trip, and for each 1000 bytes the 0.27 ms that they occupy a link of
// 30 Mbit/s, doubled because the link is also billed.
func DefaultCosts() Costs {
	return Costs{RegionRoundTrip: 24 * time.Millisecond, PerKilobyte: 540 * time.Microsecond}
}

func (c Costs) of(bytes int) time.Duration {
	return c.RegionRoundTrip + time.Duration(float64(c.PerKilobyte)*float64(bytes)/1000)
}

// Input is everything that a snapshot is built from.
type Input struct {
	Self      api.Instance
	Endpoints []api.Endpoint
	Workers   map[api.WorkerID]api.Worker
	// Published holds what the owners said about endpoints of their racks; it lags.
	Published map[EndpointKey]Load
	Costs     Costs
}

// NewSnapshot builds a snapshot. Endpoints that leave, or whose worker is unknown or leaves, are left out.
func NewSnapshot(in Input, trackers *Trackers) *Snapshot {
	s := &Snapshot{costs: in.Costs, services: map[string]*serviceView{}}
	listed := make(map[EndpointKey]bool, len(in.Endpoints))
	trackers.mu.Lock()
	defer trackers.mu.Unlock()
	counted := map[api.WorkerID]bool{}
	for _, e := range in.Endpoints {
		listed[KeyOf(e)] = true
		worker, ok := in.Workers[e.Worker]
		if !ok || worker.Leaving || e.Leaving {
			continue
		}
		s.add(in, e, worker, trackers.of(e, worker))
		if !counted[worker.ID] {
			counted[worker.ID] = true
			s.count(in, e, worker)
		}
	}
	trackers.retain(listed)
	return s
}

func (s *Snapshot) add(in Input, e api.Endpoint, w api.Worker, tracker *Tracker) {
	view := s.services[e.Service]
	if view == nil {
		view = &serviceView{}
		s.services[e.Service] = view
	}
	distance := tierOf(in.Self, e)
	c := candidate{endpoint: e, slots: max(1, min(w.Slots, w.Connections)), tracker: tracker}
	if distance != tierOwn {
		c.published = othersLoad(in.Published[KeyOf(e)], tracker)
	}
	view.tiers[distance] = append(view.tiers[distance], c)
}

// othersLoad takes this instance's own requests out of what the owner published, because the tracker counts them.
func othersLoad(published Load, tracker *Tracker) Load {
	published.InFlight = max(0, published.InFlight-int(tracker.inFlight.Load()))
	return published
}

func (s *Snapshot) count(in Input, e api.Endpoint, w api.Worker) {
	if e.Location.Region == in.Self.Location.Region {
		s.capacity += min(w.Slots, w.Connections)
	}
	if e.Owner == in.Self.ID {
		s.own += min(w.Slots, w.Connections)
	}
}

// tierOf ranks the distance of an endpoint. A rack in another region is remote even if this instance owns it, because
// its requests cross the region link all the same.
func tierOf(self api.Instance, e api.Endpoint) tier {
	switch {
	case e.Location.Region != self.Location.Region:
		return tierRemote
	case e.Owner == self.ID:
		return tierOwn
	case e.Location.DataCentre == self.Location.DataCentre:
		return tierDataCentre
	default:
		return tierRegion
	}
}

// RegionSlots returns the number of slots of workers in this instance's region that run at least one endpoint.
func (s *Snapshot) RegionSlots() int { return s.capacity }

// OwnSlots returns the number of slots of workers in racks that this instance owns.
func (s *Snapshot) OwnSlots() int { return s.own }

// Has reports whether any endpoint of the service is known.
func (s *Snapshot) Has(service string) bool { return s.services[service] != nil }
