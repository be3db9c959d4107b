package replay

import (
	"fmt"

	"bronzehook/api"
)

// rackSize is the number of workers in a rack.
const rackSize = 8

// Site is the fleet on which a trace is replayed.
type Site struct {
	Name        string
	Workers     int
	Capacity    api.Resources
	Accelerated int
	// DataCentres lists region and data centre; racks are dealt out in turn.
	DataCentres []api.Location
}

// Tentpole returns the site that gives most weight to tail latency and floods.
func Tentpole() Site {
	return Site{
		Name: "tentpole", Workers: 50, Capacity: api.Resources{MilliCPU: 30000, MemoryMB: 125000}, Accelerated: 8,
		DataCentres: []api.Location{
			{Region: "cornwall", DataCentre: "montego"}, {Region: "cornwall", DataCentre: "savanna"},
			{Region: "surrey", DataCentre: "kingston"},
		},
	}
}

// Nile returns the site that gives most weight to batch throughput and evictions.
func Nile() Site {
	return Site{
		Name: "nile", Workers: 65, Capacity: api.Resources{MilliCPU: 64000, MemoryMB: 250000}, Accelerated: 8,
		DataCentres: []api.Location{
			{Region: "cairo", DataCentre: "cairo-nasr"}, {Region: "cairo", DataCentre: "cairo-obour"},
			{Region: "alexandria", DataCentre: "alex-borg"},
		},
	}
}

// Sites returns the sites of the table.
func Sites() []Site { return []Site{Tentpole(), Nile()} }

const (
	slotsPerWorker       = 8
	connectionsPerWorker = 64
	// acceleratorsPerWorker is the number of devices on a worker that has some.
	acceleratorsPerWorker = 4
)

func (s Site) workers() []api.Worker {
	workers := make([]api.Worker, s.Workers)
	for i := range workers {
		rack := i / rackSize
		where := s.DataCentres[rack%len(s.DataCentres)]
		where.Rack = fmt.Sprintf("rack%d", rack)
		capacity := s.Capacity
		// Workers with accelerators are dealt out over the racks.
		if i%(s.Workers/s.Accelerated) == 0 && i/(s.Workers/s.Accelerated) < s.Accelerated {
			capacity.Accelerators = acceleratorsPerWorker
		}
		workers[i] = api.Worker{
			ID: api.WorkerID(fmt.Sprintf("w%02d", i)), Location: where, Capacity: capacity,
			Slots: slotsPerWorker, Connections: connectionsPerWorker,
		}
	}
	return workers
}
