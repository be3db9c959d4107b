package routing

import (
	"time"

	"bronzehook/api"
)

// candidate is one endpoint of a snapshot. published is the load from other instances; it is unset for local endpoints,
// whose tracker sees every request.
type candidate struct {
	endpoint  api.Endpoint
	slots     int
	published Load
	tracker   *Tracker
}

// tier ranks the distance of an endpoint.
type tier int

const (
	tierLocal      tier = iota // rack that this instance owns
	tierDataCentre             // same data centre
	tierRegion                 // same region
	tierRemote                 // another region
	tierCount
)

// serviceView holds the endpoints of one service by tier.
type serviceView struct {
	tiers [tierCount][]candidate
}

// Snapshot is an immutable list of all endpoints by service and distance from this instance. Its trackers are updated by
// each request, so that a burst between two snapshots is not sent to a single endpoint.
type Snapshot struct {
	costs       Costs
	services    map[string]*serviceView
	regionSlots int
	localSlots  int
}

// Costs holds the costs of sending a request to another region.
type Costs struct {
	// RegionRoundTrip is the additional latency of a request to another region.
	RegionRoundTrip time.Duration
	// PerKilobyte is the waiting time that has to be saved for each 1000 bytes sent over the link between regions, which
	// is shared and billed by volume.
	PerKilobyte time.Duration
}

// DefaultCosts returns 24 ms for the round trip, and 0.54 ms for each 1000 bytes: the 0.27 ms for which they occupy a
// link of 30 Mbit/s, doubled because the link is also billed.
func DefaultCosts() Costs {
	return Costs{RegionRoundTrip: 24 * time.Millisecond, PerKilobyte: 540 * time.Microsecond}
}

// minSavedWait returns the waiting time that a request of the given size has to save to be sent to another region.
func (c Costs) minSavedWait(bytes int) time.Duration {
	return c.RegionRoundTrip + time.Duration(float64(c.PerKilobyte)*float64(bytes)/1000)
}

// Input holds the data that a snapshot is built from.
type Input struct {
	Self      api.Instance
	Endpoints []api.Endpoint
	Workers   map[api.WorkerID]api.Worker
	// Published holds the loads that owners published for the endpoints of their racks; they may be stale.
	Published map[EndpointKey]Load
	Costs     Costs
}

// NewSnapshot builds a snapshot. Leaving endpoints, and those whose worker is unknown or leaving, are omitted.
func NewSnapshot(in Input, trackers *Trackers) *Snapshot {
	s := &Snapshot{costs: in.Costs, services: map[string]*serviceView{}}
	current := make(map[EndpointKey]bool, len(in.Endpoints))
	trackers.mu.Lock()
	defer trackers.mu.Unlock()
	countedWorkers := map[api.WorkerID]bool{}
	for _, e := range in.Endpoints {
		current[KeyOf(e)] = true
		worker, ok := in.Workers[e.Worker]
		if !ok || worker.Leaving || e.Leaving {
			continue
		}
		s.addEndpoint(in, e, worker, trackers.getOrCreate(e, worker))
		if !countedWorkers[worker.ID] {
			countedWorkers[worker.ID] = true
			s.countSlots(in, e, worker)
		}
	}
	trackers.retain(current)
	return s
}

func (s *Snapshot) addEndpoint(in Input, e api.Endpoint, w api.Worker, tracker *Tracker) {
	view := s.services[e.Service]
	if view == nil {
		view = &serviceView{}
		s.services[e.Service] = view
	}
	distance := tierFor(in.Self, e)
	c := candidate{endpoint: e, slots: max(1, min(w.Slots, w.Connections)), tracker: tracker}
	if distance != tierLocal {
		c.published = loadFromOthers(in.Published[KeyOf(e)], tracker)
	}
	view.tiers[distance] = append(view.tiers[distance], c)
}

// loadFromOthers subtracts this instance's requests from the published load, because the tracker counts them already.
func loadFromOthers(published Load, tracker *Tracker) Load {
	published.InFlight = max(0, published.InFlight-int(tracker.inFlight.Load()))
	return published
}

// countSlots adds the slots of a worker to the totals of the region and of the owned racks.
func (s *Snapshot) countSlots(in Input, e api.Endpoint, w api.Worker) {
	if e.Location.Region == in.Self.Location.Region {
		s.regionSlots += min(w.Slots, w.Connections)
	}
	if e.Owner == in.Self.ID {
		s.localSlots += min(w.Slots, w.Connections)
	}
}

// tierFor returns the tier of an endpoint. A rack in another region is remote even if this instance owns it, because
// requests to it cross the link between regions.
func tierFor(self api.Instance, e api.Endpoint) tier {
	switch {
	case e.Location.Region != self.Location.Region:
		return tierRemote
	case e.Owner == self.ID:
		return tierLocal
	case e.Location.DataCentre == self.Location.DataCentre:
		return tierDataCentre
	default:
		return tierRegion
	}
}

// RegionSlots returns the number of slots of workers in this instance's region that run at least one endpoint.
func (s *Snapshot) RegionSlots() int { return s.regionSlots }

// LocalSlots returns the number of slots of workers that are in racks owned by this instance and run at least one endpoint.
func (s *Snapshot) LocalSlots() int { return s.localSlots }

// Has reports whether the snapshot contains any endpoint of the service.
func (s *Snapshot) Has(service string) bool { return s.services[service] != nil }
