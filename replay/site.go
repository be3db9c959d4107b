package replay

import (
	"fmt"

	"bronzehook/api"
)

// rackSize is the number of workers in a rack.
const rackSize = 8

// Site describes the simulated fleet on which a trace is replayed.
type Site struct {
	Name    string
	Workers int
	// Capacity is that of each worker, without accelerators; Accelerated is the number of workers that have
	// accelerators.
	Capacity    api.Resources
	Accelerated int
	// DataCentres lists regions and data centres; racks are assigned to them round-robin.
	DataCentres []api.Location
}

// Tentpole returns the site on which tail latency and floods matter most.
func Tentpole() Site {
	return Site{
		Name: "tentpole", Workers: 50, Capacity: api.Resources{MilliCPU: 30000, MemoryMB: 125000}, Accelerated: 8,
		DataCentres: []api.Location{
			{Region: "cornwall", DataCentre: "montego"}, {Region: "cornwall", DataCentre: "savanna"},
			{Region: "surrey", DataCentre: "kingston"},
		},
	}
}

// Nile returns the site on which batch throughput and evictions matter most.
func Nile() Site {
	return Site{
		Name: "nile", Workers: 65, Capacity: api.Resources{MilliCPU: 64000, MemoryMB: 250000}, Accelerated: 8,
		DataCentres: []api.Location{
			{Region: "cairo", DataCentre: "cairo-nasr"}, {Region: "cairo", DataCentre: "cairo-obour"},
			{Region: "alexandria", DataCentre: "alex-borg"},
		},
	}
}

// Sites returns all sites in the order of the table.
func Sites() []Site { return []Site{Tentpole(), Nile()} }

const (
	slotsPerWorker       = 8
	connectionsPerWorker = 64
	// acceleratorsPerWorker is the number of accelerators of a worker that has accelerators.
	acceleratorsPerWorker = 4
)

func (s Site) workers() []api.Worker {
	workers := make([]api.Worker, s.Workers)
	for i := range workers {
		rack := i / rackSize
		location := s.DataCentres[rack%len(s.DataCentres)]
		location.Rack = fmt.Sprintf("rack%d", rack)
		capacity := s.Capacity
		// Workers with accelerators are spread evenly over the racks.
		if i%(s.Workers/s.Accelerated) == 0 && i/(s.Workers/s.Accelerated) < s.Accelerated {
			capacity.Accelerators = acceleratorsPerWorker
		}
		workers[i] = api.Worker{
			ID: api.WorkerID(fmt.Sprintf("w%02d", i)), Location: location, Capacity: capacity,
			Slots: slotsPerWorker, Connections: connectionsPerWorker,
		}
	}
	return workers
}
