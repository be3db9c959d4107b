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
	"bronzehook/backend/standin"
)

// siteVariable makes the test binary serve the stand-ins instead of running tests. Its value is the number of workers.
// The stand-ins run in a process of their own, so that their processor time and memory do not count as an instance's.
const siteVariable = "BRONZEHOOK_CAPACITY_SITE"

var dataCentres = []api.Location{
	{Region: "cornwall", DataCentre: "montego"},
	{Region: "cornwall", DataCentre: "savanna"},
	{Region: "surrey", DataCentre: "kingston"},
}

var regions = []string{"cornwall", "surrey"}

func TestMain(m *testing.M) {
	if workers := os.Getenv(siteVariable); workers != "" {
		os.Exit(serveSite(workers))
	}
	os.Exit(m.Run())
}

// serveSite prints the platform's address and serves until standard input ends.
func serveSite(text string) int {
	workers, err := strconv.Atoi(text)
	if err != nil {
		return 1
	}
	centres := dataCentres
	if workers%len(centres) != 0 {
		centres = centres[:1]
	}
	site, err := standin.NewSite(standin.SiteConfig{
		DataCentres: centres, WorkersPerDataCentre: workers / len(centres),
		Capacity: api.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, Seed: benchSeed,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer site.Close()
	fmt.Println(site.URL)
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}

// startSite starts the stand-ins and returns the platform's address. They end with the benchmark.
func startSite(tb testing.TB, workers int) string {
	tb.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), siteVariable+"="+strconv.Itoa(workers), "GOMEMLIMIT=off")
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
