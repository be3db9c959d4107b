package main

import (
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/instance"
	"bronzehook/settings"
)

// Sizes of the fake cluster of --dev.
const (
	devWorkers        = 4
	devWorkerCores    = 8
	devWorkerMemoryMB = 16 << 10
	milliCPUPerCore   = 1000
	devWorkersPerRack = 8
)

// startFakeCluster starts the embedded fake of the platform with its workers and registers this instance with its
// directory.
func startFakeCluster(s *settings.Settings, bounds *instance.Bounds) (*fake.Cluster, error) {
	cluster, err := fake.NewCluster(fake.ClusterConfig{
		DataCentres:          []api.Location{{Region: s.Region, DataCentre: s.DataCentre}},
		WorkersPerDataCentre: devWorkers, WorkersPerRack: devWorkersPerRack,
		Capacity: api.Resources{MilliCPU: devWorkerCores * milliCPUPerCore, MemoryMB: devWorkerMemoryMB},
		Clock:    clockwork.NewRealClock(),
		Worker:   fake.WorkerConfig{Bounds: &fake.Bounds{Bodies: bounds.Large, Listen: bounds.EmbeddedPlatform}},
	})
	if err != nil {
		return nil, err
	}
	cluster.Platform.Directory().PutInstance(selfInstance(s))
	return cluster, nil
}

// printDevHelp prints the addresses of the services and commands to try next.
func printDevHelp(out io.Writer, callerAddr, operatorAddr, platformURL string) {
	fmt.Fprintf(out, `bronzehook is running with an embedded fake of the platform:
  callers    http://%s
  operators  http://%s
  platform   %s (%d workers)

Try next:
  go run ./cmd/bronzehookctl apply --operator-url http://%s --wait examples/first
  curl -i --fail --retry 5 http://%s/shop/hello
`, callerAddr, operatorAddr, platformURL, devWorkers, operatorAddr, callerAddr)
}
