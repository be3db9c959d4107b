package main

import (
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend/standin"
	"bronzehook/settings"
)

// Sizes of the stand-in site of --dev.
const (
	devWorkers       = 4
	devWorkerCores   = 8
	devWorkerMemory  = 16 << 10
	devThousandths   = 1000
	devWorkersPerDev = 8
)

// startDevSite starts the embedded stand-ins and registers this instance with their directory.
func startDevSite(s *settings.Settings) (*standin.Site, error) {
	site, err := standin.NewSite(standin.SiteConfig{
		DataCentres:          []api.Location{{Region: s.Region, DataCentre: s.DataCentre}},
		WorkersPerDataCentre: devWorkers, WorkersPerRack: devWorkersPerDev,
		Capacity: api.Resources{MilliCPU: devWorkerCores * devThousandths, MemoryMB: devWorkerMemory},
		Clock:    clockwork.NewRealClock(),
	})
	if err != nil {
		return nil, err
	}
	site.Platform.Directory().PutInstance(selfOf(s))
	return site, nil
}

// printDevHelp tells a new user what runs where and what to try next.
func printDevHelp(out io.Writer, callerAddr, operatorAddr, platformURL string) {
	fmt.Fprintf(out, `bronzehook runs with embedded stand-ins:
  callers    http://%s
  operators  http://%s
  platform   %s (%d workers)

Try next:
  go run ./cmd/bronzehookctl apply --operator-url http://%s --wait examples/first
  curl -i http://%s/shop/hello
`, callerAddr, operatorAddr, platformURL, devWorkers, operatorAddr, callerAddr)
}
