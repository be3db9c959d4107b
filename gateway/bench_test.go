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
	answer, err := client.Get(url)
	if err != nil {
		tb.Error(err)
		return
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); err != nil || len(body) != 5 {
		tb.Errorf("status %d with %d bytes: %v", answer.StatusCode, len(body), err)
	}
}

// p50s measures both addresses in alternate calls, so that a change of the machine's load meets both alike.
func p50s(tb testing.TB, client *http.Client, count int, urls ...string) []float64 {
	times := make([][]float64, len(urls))
	for range count {
		for i, url := range urls {
			begun := time.Now()
			get(tb, client, url)
			times[i] = append(times[i], time.Since(begun).Seconds())
		}
	}
	medians := make([]float64, len(urls))
	for i := range urls {
		medians[i] = median(times[i])
	}
	return medians
}

func perSecond(tb testing.TB, client *http.Client, url string, count int) float64 {
	begun := time.Now()
	var wait sync.WaitGroup
	for range benchClients {
		wait.Go(func() {
			for range count / benchClients {
				get(tb, client, url)
			}
		})
	}
	wait.Wait()
	return float64(count) / time.Since(begun).Seconds()
}

// BenchmarkRequestPath compares a request through the gateway with a direct call of the same endpoint, in turns within
// one run. The aims are at most 2.2 times at p50 and at least 0.4 of the throughput.
func BenchmarkRequestPath(b *testing.B) {
	addr := endpoint(b, hello)
	i := newInstance(b, 64, addr)
	direct, through := "http://"+addr+"/x", i.url+"/s/x"
	client := newBenchClient()
	p50s(b, client, 500, direct, through)
	for b.Loop() {
		times := p50s(b, client, benchRequests/2, direct, through)
		var directRates, throughRates []float64
		for range 4 {
			directRates = append(directRates, perSecond(b, client, direct, benchRequests))
			throughRates = append(throughRates, perSecond(b, client, through, benchRequests))
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
