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
	"bronzehook/backend/fake"
	"bronzehook/operator"
)

const goldenFile = "testdata/session.golden"

// jobLimit bounds the run of the example's job: four tasks of 2 s, and the limit in the design document for the start of
// urgent work.
const jobLimit = 20 * time.Second

// activeLimit is the limit in the design document for the time until a change is active on all instances.
const activeLimit = 9 * time.Second

// transcript collects the output of a session. It leaves out times and ports, and sorts lines whose order differs between runs.
type transcript struct {
	f    *fleet
	text strings.Builder
}

// addLine adds a formatted line to the transcript.
func (s *transcript) addLine(format string, args ...any) { fmt.Fprintf(&s.text, format+"\n", args...) }

// runCommand runs a command of the operators' tool and adds its output and exit code.
func (s *transcript) runCommand(p *process, author string, dir string, args ...string) {
	s.addLine("%s@%s: %s", author, p.id, strings.Join(args, " "))
	if dir != "" {
		args = append(args, dir)
	}
	code, out, errOut := runCtl(p, author, args...)
	s.text.WriteString(sortIndented(out))
	s.text.WriteString(errOut)
	s.addLine("exit code %d\n", code)
}

// sortIndented sorts each block of indented lines. They name instances, in an order that is not specified.
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

// sendRequests sends one request with an idempotency key through each of the instances and adds the outcomes.
func (s *transcript) sendRequests(label string, instances []*process) {
	for _, p := range instances {
		a := send(p, "shop", "cornwall:"+label+"-"+p.id, 1)
		s.addLine("request through %s: %d, outcome %q", p.id, a.status, a.outcome)
	}
	s.addLine("")
}

// Guards against a session of operators and callers that fails, or whose output changes unintentionally.
func TestSessionGolden(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	s := &transcript{f: f}
	annDir := t.TempDir()
	if err := os.CopyFS(annDir, os.DirFS("../examples/first")); err != nil {
		t.Fatal(err)
	}
	// A run of the example in its own folder leaves the base versions of that fleet there; the test starts without them.
	if err := os.RemoveAll(filepath.Join(annDir, ".bronzehook-base.json")); err != nil {
		t.Fatal(err)
	}
	montego, savanna, kingston := f.instances[0], f.instances[1], f.instances[2]

	s.runCommand(montego, "ann", annDir, "apply", "--wait")
	f.awaitService("shop")
	s.sendRequests("first", f.instances)
	f.awaitJob("nightly-index", 4)
	s.addLine("nightly-index: %s\n", f.attemptStates("nightly-index"))

	bobDir := t.TempDir()
	s.runCommand(savanna, "bob", "", "get")
	if code, _, errOut := runCtl(savanna, "bob", "get", "--into", bobDir); code != 0 {
		t.Fatal(errOut)
	}
	f.writeFile(annDir, "10-teams.yaml", "kind: team\nname: web\ncpu: 80\n")
	s.runCommand(kingston, "ann", annDir, "apply", "--wait")
	for _, p := range f.instances {
		f.eventually(activeLimit, "revision 2 in force on "+p.id, func() bool { return f.revision(p) == 2 })
		s.addLine("%s has revision 2 in force", p.id)
	}
	s.addLine("")
	f.writeFile(bobDir, "10-teams.yaml", "kind: team\nname: web\ncpu: 64\nmemory: 512GiB\n")
	s.runCommand(savanna, "bob", bobDir, "apply")
	s.runCommand(savanna, "bob", bobDir, "apply", "--rebase", "--wait")
	s.addAuditLog(montego, 4)

	savanna.signal(t, syscall.SIGTERM)
	s.addLine("SIGTERM of %s: exit code %d", savanna.id, savanna.waitStopped(t))
	f.eventually(recoveryLimit, "requests answered after the stop", func() bool {
		return send(montego, "shop", "", 1).outcome == api.Answered && send(kingston, "shop", "", 1).outcome == api.Answered
	})
	s.sendRequests("after-stop", []*process{montego, kingston})
	f.compareGolden(s.text.String())
}

// addAuditLog adds the operators' entries of the audit log once there are as many as expected.
func (s *transcript) addAuditLog(p *process, want int) {
	s.f.t.Helper()
	var lines []string
	s.f.eventually(activeLimit, "the operators' changes in the audit log", func() bool {
		lines = s.f.auditLines(p)
		return len(lines) >= want
	})
	s.addLine("audit:\n%s\n", strings.Join(lines, "\n"))
}

// auditLines returns the entries of the audit log that were made by the operators of the session, in the order of the log.
func (f *fleet) auditLines(p *process) []string {
	var response operator.AuditResponse
	_, out, _ := runCtl(p, "ann", "--output=json", "audit")
	if err := json.Unmarshal([]byte(out), &response); err != nil {
		return nil
	}
	var lines []string
	for _, e := range response.Events {
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
		f.eventually(recoveryLimit, service+" answers through "+p.id, func() bool {
			return send(p, service, "", 1).status == http.StatusOK
		})
	}
}

// awaitJob waits until the given number of tasks of a job have succeeded according to the event logs of the workers.
func (f *fleet) awaitJob(work string, tasks int) {
	f.t.Helper()
	f.eventually(jobLimit, work+" done", func() bool {
		return len(f.attempts(func(r fake.AttemptRecord) bool { return r.Work == work && r.State == api.SeenSucceeded })) >= tasks
	})
}

// attemptStates returns the number of a job's attempts in each state.
func (f *fleet) attemptStates(work string) string {
	counts := map[string]int{}
	for _, r := range f.attempts(func(r fake.AttemptRecord) bool { return r.Work == work }) {
		counts[string(r.State)]++
	}
	return fmt.Sprint(counts)
}

// compareGolden compares the transcript with the golden file; with UPDATE_SESSIONS set it rewrites the file instead.
func (f *fleet) compareGolden(got string) {
	f.t.Helper()
	if os.Getenv("UPDATE_SESSIONS") != "" {
		f.writeFile("testdata", "session.golden", got)
		return
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		f.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		f.t.Errorf("the transcript differs from %s (-want +got):\n%s", goldenFile, diff)
	}
}
