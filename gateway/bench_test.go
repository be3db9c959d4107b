package gateway

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	benchRequests = 20_000
	benchClients  = 8
)

func newBenchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

func get(tb testing.TB, client *http.Client, url string) {
	response, err := client.Get(url)
	if err != nil {
		tb.Error(err)
		return
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || len(body) != 5 {
		tb.Errorf("status %d with %d bytes: %v", response.StatusCode, len(body), err)
	}
}

// medianLatencies calls the URLs in turn, so that changes of the machine load affect all of them alike.
func medianLatencies(tb testing.TB, client *http.Client, count int, urls ...string) []float64 {
	times := make([][]float64, len(urls))
	for range count {
		for i, url := range urls {
			started := time.Now()
			get(tb, client, url)
			times[i] = append(times[i], time.Since(started).Seconds())
		}
	}
	medians := make([]float64, len(urls))
	for i := range urls {
		medians[i] = median(times[i])
	}
	return medians
}

func throughput(tb testing.TB, client *http.Client, url string, count int) float64 {
	started := time.Now()
	var wait sync.WaitGroup
	for range benchClients {
		wait.Go(func() {
			for range count / benchClients {
				get(tb, client, url)
			}
		})
	}
	wait.Wait()
	return float64(count) / time.Since(started).Seconds()
}

// BenchmarkRequestPath compares requests through the gateway with direct requests to the same endpoint, alternating
// within one run. The targets are at most 2.2 times the median latency and at least 0.4 of the throughput.
func BenchmarkRequestPath(b *testing.B) {
	addr := endpoint(b, hello)
	i := newInstance(b, 64, addr)
	direct, through := "http://"+addr+"/x", i.url+"/s/x"
	client := newBenchClient()
	medianLatencies(b, client, 500, direct, through)
	for b.Loop() {
		times := medianLatencies(b, client, benchRequests/2, direct, through)
		var directRates, throughRates []float64
		for range 4 {
			directRates = append(directRates, throughput(b, client, direct, benchRequests))
			throughRates = append(throughRates, throughput(b, client, through, benchRequests))
		}
		b.ReportMetric(times[0]*1e6, "µs-direct-p50")
		b.ReportMetric(times[1]/times[0], "x-p50")
		b.ReportMetric(median(directRates), "direct/s")
		b.ReportMetric(median(throughRates)/median(directRates), "x-throughput")
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
