package config

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"

	"bronzehook/api"
)

// Guards against refusals without position or reason, against stopping at the first problem, and against problems that
// follow from another reported one. Each archive holds a folder, and the expected error text in the file "want".
func TestRefusedFolders(t *testing.T) {
	paths, err := filepath.Glob("testdata/errors/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			files, want := map[string][]byte{}, ""
			for _, f := range archive.Files {
				if f.Name == "want" {
					want = strings.TrimSpace(string(f.Data))
					continue
				}
				files[f.Name] = f.Data
			}
			_, err = Parse(files, WithRegions("cornwall", "surrey"))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("Parse: %v, want an InvalidError", err)
			}
			if diff := cmp.Diff(want, invalid.Error()); diff != "" {
				t.Errorf("error text (-want +got):\n%s", diff)
			}
		})
	}
}

const teamFile = "kind: team\nname: web\n"

func workloadFile(kind, name, more string) string {
	return "kind: " + kind + "\nname: " + name + "\nteam: web\nurgency: high\ncpu: 2\nmemory: 4GiB\n" + more
}

func folder(pairs ...string) map[string][]byte {
	files := map[string][]byte{}
	for i := 0; i < len(pairs); i += 2 {
		files[pairs[i]] = []byte(pairs[i+1])
	}
	return files
}

func mustParse(t *testing.T, files map[string][]byte) *Set {
	t.Helper()
	set, err := Parse(files)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// Guards against quantities in the wrong unit, missing defaults, and the refusal of files from editors that write a byte
// order mark and carriage returns.
func TestQuantities(t *testing.T) {
	set := mustParse(t, folder("team.yaml", "\ufeff"+strings.ReplaceAll(teamFile, "\n", "\r\n"),
		"job.yaml", "kind: job\nname: index\nteam: web\nurgency: low\ncpu: 250m\nmemory: 1.5GiB\nrunTime: 90m\ndeadline: 4h\n"+
			"regions: [cornwall]\ncommand: [\"run\", \"2s\", 3]\naccelerators: 1\n"))
	want := api.Spec{Name: "index", Kind: api.KindJob, Team: "web", Urgency: api.Low, Replicas: 1,
		Resources: api.Resources{MilliCPU: 250, MemoryMB: 1536, Accelerators: 1}, RunTime: 90 * time.Minute,
		Deadline: 4 * time.Hour, Regions: []string{"cornwall"}, Command: []string{"run", "2s", "3"}, File: "job.yaml"}
	if diff := cmp.Diff(want, set.WorkSet().Specs["index"]); diff != "" {
		t.Errorf("spec (-want +got):\n%s", diff)
	}
}

// Guards against an override that drops the keys it does not set, and against a merge in an order other than that of the
// file names.
func TestOverrideReplacesOnlyItsKeys(t *testing.T) {
	set := mustParse(t, folder("a.yaml", teamFile, "b.yaml", workloadFile("service", "shop", "replicas: 2\n"),
		"c.yaml", "kind: service\nname: shop\noverride: true\nreplicas: 5\n",
		"d.yaml", "kind: service\nname: shop\noverride: true\nreplicas: 7\ncpu: 3\n"))
	got := set.WorkSet().Specs["shop"]
	if got.Replicas != 7 || got.Resources != (api.Resources{MilliCPU: 3000, MemoryMB: 4096}) || got.Urgency != api.High {
		t.Errorf("merged spec = %+v", got)
	}
}

// Guards against a diff that misses a changed key, or that reports a workload as changed because it moved to another file.
func TestDiff(t *testing.T) {
	before := mustParse(t, folder("a.yaml", teamFile, "b.yaml", workloadFile("service", "shop", ""), "c.yaml", workloadFile("job", "old", "")))
	after := mustParse(t, folder("a.yaml", teamFile+"cpu: 10\n", "z.yaml", workloadFile("service", "shop", "replicas: 2\n"),
		"f.yaml", "kind: floors\nhigh: 20%\n"))
	want := []Change{
		{Kind: "floors", Name: "floors", Action: Added, Fields: []FieldChange{
			{"critical", "", "0%"}, {"high", "", "20%"}, {"low", "", "0%"}, {"normal", "", "0%"}}},
		{Kind: "job", Name: "old", Action: Removed, Fields: []FieldChange{
			{"cpu", "2000m", ""}, {"memory", "4096MiB", ""}, {"replicas", "1", ""}, {"team", "web", ""}, {"urgency", "high", ""}}},
		{Kind: "service", Name: "shop", Action: Changed, Fields: []FieldChange{{"replicas", "1", "2"}}},
		{Kind: "team", Name: "web", Action: Changed, Fields: []FieldChange{{"cpu", "", "10000m"}}},
	}
	if diff := cmp.Diff(want, Diff(before, after)); diff != "" {
		t.Errorf("diff (-want +got):\n%s", diff)
	}
	if again := Diff(after, after); len(again) != 0 {
		t.Errorf("diff with itself = %v", again)
	}
}

// Guards against a hostile file that keeps the instance busy for many seconds.
func TestParseTimeOfHostileFiles(t *testing.T) {
	const limit = 10 * time.Second
	for _, unit := range []string{"[", "{", "- ", "a: ", "? ", "!x ", "&a ", "[ #]\n"} {
		start := time.Now()
		content := strings.Repeat(unit, MaxFileBytes/len(unit))
		if _, err := Parse(folder("a.yaml", content)); err == nil {
			t.Errorf("%q repeated was accepted", unit)
		}
		if took := time.Since(start); took > limit {
			t.Errorf("%q repeated took %s", unit, took)
		}
	}
}

// Guards against a crash on malformed input, and against an accepted set in which a workload has a wrong name, an
// undeclared team or quantities out of range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(workloadFile("service", "shop", "")), []byte(teamFile))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		set, err := Parse(map[string][]byte{"a.yaml": first, "b.yaml": second, "c.yaml": []byte(teamFile + "override: true\n")})
		var invalid *InvalidError
		if err != nil {
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("refused without a reported problem: %v", err)
			}
			return
		}
		for name, spec := range set.WorkSet().Specs {
			_, team := set.WorkSet().Teams[spec.Team]
			if name == "" || spec.Name != name || !team || spec.Replicas < 0 || spec.Resources.MilliCPU <= 0 || spec.Resources.MemoryMB <= 0 {
				t.Fatalf("accepted %+v", spec)
			}
		}
	})
}
