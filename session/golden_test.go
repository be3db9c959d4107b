package session

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
	"bronzehook/backend/standin"
	"bronzehook/operator"
)

const goldenFile = "testdata/session.golden"

// jobLimit bounds the run of the example's job: four tasks of 2 s, with the start time of urgent work from the design.
const jobLimit = 20 * time.Second

// inForceLimit is the bound of the design page for a change to be in force everywhere.
const inForceLimit = 9 * time.Second

// transcript collects what a session shows, without times, ports and orders that differ between runs.
type transcript struct {
	f    *fleet
	text strings.Builder
}

func (s *transcript) say(format string, args ...any) { fmt.Fprintf(&s.text, format+"\n", args...) }

// ctl runs a command line and notes its output.
func (s *transcript) ctl(p *process, author string, dir string, args ...string) {
	s.say("%s@%s: %s", author, p.id, strings.Join(args, " "))
	if dir != "" {
		args = append(args, dir)
	}
	code, out, errOut := operate(p, author, args...)
	s.text.WriteString(sortIndented(out))
	s.text.WriteString(errOut)
	s.say("exit code %d\n", code)
}

// sortIndented sorts each run of lines that name instances, because their order is not stated.
func sortIndented(text string) string {
	lines := strings.SplitAfter(text, "\n")
	for begin := 0; begin < len(lines); begin++ {
		end := begin
		for end < len(lines) && strings.HasPrefix(lines[end], "  ") {
			end++
		}
		slices.Sort(lines[begin:end])
		begin = max(begin, end-1)
	}
	return strings.Join(lines, "")
}

// requests sends one keyed request through each of the instances.
func (s *transcript) requests(label string, instances []*process) {
	for _, p := range instances {
		a := send(p, "shop", "cornwall:"+label+"-"+p.id, 1)
		s.say("request through %s: %d, outcome %q", p.id, a.status, a.outcome)
	}
	s.say("")
}

// Guards against a session of operators and callers that no longer works or looks as it did.
func TestSessionGolden(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	s := &transcript{f: f}
	first := t.TempDir()
	if err := os.CopyFS(first, os.DirFS("../examples/first")); err != nil {
		t.Fatal(err)
	}
	// A trial of the example leaves base versions of its fleet behind; the session begins without.
	if err := os.RemoveAll(filepath.Join(first, ".bronzehook-base.json")); err != nil {
		t.Fatal(err)
	}
	montego, savanna, kingston := f.instances[0], f.instances[1], f.instances[2]

	s.ctl(montego, "ann", first, "apply", "--wait")
	f.awaitService("shop")
	s.requests("first", f.instances)
	f.awaitJob("nightly-index", 4)
	s.say("nightly-index: %s\n", f.runStates("nightly-index"))

	bob := t.TempDir()
	s.ctl(savanna, "bob", "", "get")
	if code, _, errOut := operate(savanna, "bob", "get", "--into", bob); code != 0 {
		t.Fatal(errOut)
	}
	f.write(first, "10-teams.yaml", "kind: team\nname: web\ncpu: 80\n")
	s.ctl(kingston, "ann", first, "apply", "--wait")
	for _, p := range f.instances {
		f.eventually(inForceLimit, "revision 2 in force on "+p.id, func() bool { return f.revision(p) == 2 })
		s.say("%s has revision 2 in force", p.id)
	}
	s.say("")
	f.write(bob, "10-teams.yaml", "kind: team\nname: web\ncpu: 64\nmemory: 512GiB\n")
	s.ctl(savanna, "bob", bob, "apply")
	s.ctl(savanna, "bob", bob, "apply", "--rebase", "--wait")
	s.audit(montego, 4)

	savanna.signal(t, syscall.SIGTERM)
	s.say("SIGTERM of %s: exit code %d", savanna.id, savanna.waitStopped(t))
	f.eventually(answerAgain, "requests answered after the stop", func() bool {
		return send(montego, "shop", "", 1).outcome == api.Answered && send(kingston, "shop", "", 1).outcome == api.Answered
	})
	s.requests("after-stop", []*process{montego, kingston})
	f.compare(s.text.String())
}

// audit notes the operators' entries of the trail once there are as many as expected.
func (s *transcript) audit(p *process, want int) {
	s.f.t.Helper()
	var lines []string
	s.f.eventually(inForceLimit, "the operators' changes in the trail", func() bool {
		lines = s.f.auditLines(p)
		return len(lines) >= want
	})
	s.say("audit:\n%s\n", strings.Join(lines, "\n"))
}

// auditLines returns who did what, in the order of the trail, for the operators of the session.
func (f *fleet) auditLines(p *process) []string {
	var answer operator.AuditResponse
	_, out, _ := operate(p, "ann", "--output=json", "audit")
	if err := json.Unmarshal([]byte(out), &answer); err != nil {
		return nil
	}
	var lines []string
	for _, e := range answer.Events {
		if e.Actor == "ann" || e.Actor == "bob" {
			lines = append(lines, fmt.Sprintf("%s by %s through %s: %s, %s -> %s, %s", e.Action, e.Actor, e.Instance, e.Subject, e.From, e.To, e.Result))
		}
	}
	return lines
}

func (f *fleet) revision(p *process) uint64 {
	status, _ := f.status(p)
	return status.Revision
}

// awaitService waits until a request through each instance is answered.
func (f *fleet) awaitService(service string) {
	f.t.Helper()
	for _, p := range f.instances {
		f.eventually(answerAgain, service+" answers through "+p.id, func() bool {
			return send(p, service, "", 1).status == http.StatusOK
		})
	}
}

// awaitJob waits until so many tasks of a job have succeeded according to the journals.
func (f *fleet) awaitJob(work string, tasks int) {
	f.t.Helper()
	f.eventually(jobLimit, work+" done", func() bool {
		return len(f.runs(func(r standin.Run) bool { return r.Work == work && r.State == api.SeenSucceeded })) >= tasks
	})
}

// runStates counts the states of a job's attempts.
func (f *fleet) runStates(work string) string {
	counts := map[string]int{}
	for _, r := range f.runs(func(r standin.Run) bool { return r.Work == work }) {
		counts[string(r.State)]++
	}
	return fmt.Sprint(counts)
}

func (f *fleet) compare(got string) {
	f.t.Helper()
	if os.Getenv("UPDATE_SESSIONS") != "" {
		f.write("testdata", "session.golden", got)
		return
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		f.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		f.t.Errorf("the session differs from %s (-want +got):\n%s", goldenFile, diff)
	}
}
