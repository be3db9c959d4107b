package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/config"
	"bronzehook/dedup"
	"bronzehook/operator"
)

const (
	// changes is the number of measured configuration changes per fleet.
	changes = 20
	// rolloutPoll is the interval at which acceptance is checked, and so the resolution of the measured times.
	rolloutPoll = 10 * time.Millisecond
)

// BenchmarkRollout measures the time from an operator's request until all instances have accepted the revision.
func BenchmarkRollout(b *testing.B) {
	for _, instances := range []int{3, 6, 9, 22} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			f := startFleet(b, instances, 3)
			f.nodes[0].apply(b, configFiles(0))
			times := make([]time.Duration, changes)
			version := uint64(0)
			for i := range times {
				n := f.nodes[i%instances]
				start := time.Now()
				edit := operator.FileEdit{File: "job.yaml", Content: workloadFile(3, i+1), BaseVersion: version}
				version = n.apply(b, []operator.FileEdit{edit})
				for !n.accepted(b, version) {
					time.Sleep(rolloutPoll)
				}
				times[i] = time.Since(start)
			}
			slices.Sort(times)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(times[changes/2].Seconds(), "p50-s")
			b.ReportMetric(times[changes-1].Seconds(), "max-s")
		})
	}
}

// BenchmarkParse measures the parsing of a configuration, which every instance does after each change.
func BenchmarkParse(b *testing.B) {
	for _, files := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("files=%d", files), func(b *testing.B) {
			contents := map[string][]byte{}
			for _, edit := range configFiles((files - 1) * replicasPerWorkload) {
				contents[edit.File] = []byte(edit.Content)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse(contents); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRequestKeys measures the memory of idempotency keys without stored responses.
func BenchmarkRequestKeys(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				table := dedup.NewTable(dedup.DefaultLimits())
				for i := range keys {
					call := dedup.Call{Key: fmt.Sprintf("cornwall:request-%010d", i), Attempt: 1}
					if _, _, err := table.Begin(time.Now(), api.Epoch(1), call); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((liveHeap()-before)/float64(keys), "heap-B/key")
				if table.Len() != keys {
					b.Fatalf("%d keys kept", table.Len())
				}
			}
		})
	}
}
