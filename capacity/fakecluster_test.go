package capacity

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"bronzehook/api"
	"bronzehook/backend/fake"
)

// fakeClusterVariable makes the test binary serve a fake cluster with that number of workers instead of running tests.
// The fake cluster runs in a separate process, so that its CPU time and memory are not counted as those of an instance.
const fakeClusterVariable = "BRONZEHOOK_CAPACITY_SITE"

var dataCentres = []api.Location{
	{Region: "cornwall", DataCentre: "montego"},
	{Region: "cornwall", DataCentre: "savanna"},
	{Region: "surrey", DataCentre: "kingston"},
}

var regions = []string{"cornwall", "surrey"}

func TestMain(m *testing.M) {
	if workers := os.Getenv(fakeClusterVariable); workers != "" {
		os.Exit(serveFakeCluster(workers))
	}
	os.Exit(m.Run())
}

// serveFakeCluster prints the platform's base URL and serves until standard input is closed.
func serveFakeCluster(workerCount string) int {
	workers, err := strconv.Atoi(workerCount)
	if err != nil {
		return 1
	}
	centres := dataCentres
	if workers%len(centres) != 0 {
		centres = centres[:1]
	}
	cluster, err := fake.NewCluster(fake.ClusterConfig{
		DataCentres: centres, WorkersPerDataCentre: workers / len(centres),
		Capacity: api.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, Seed: benchSeed,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer cluster.Close()
	fmt.Println(cluster.URL)
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}

// startFakeCluster starts a fake cluster, which stops with the benchmark, and returns the platform's base URL.
func startFakeCluster(tb testing.TB, workers int) string {
	tb.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fakeClusterVariable+"="+strconv.Itoa(workers), "GOMEMLIMIT=off")
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		tb.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := command.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		tb.Fatal(err)
	}
	return strings.TrimSpace(line)
}
