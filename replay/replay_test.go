package replay

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the recorded traces and the golden table anew")

// recordedSeed is the generator's seed of the recorded traces.
const recordedSeed = 1

// Guards against recorded traces that nobody can make again.
func TestRecordedTracesComeFromTheGenerator(t *testing.T) {
	for _, site := range Sites() {
		for _, trace := range Traces() {
			want, err := Format(Generate(site, trace, recordedSeed))
			if err != nil {
				t.Fatal(err)
			}
			path := "traces/" + fileName(site, trace)
			if *update {
				if err := os.WriteFile(path, want, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			got, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(got)); diff != "" {
				t.Errorf("%s differs from the generator's trace", path)
			}
		}
	}
}
