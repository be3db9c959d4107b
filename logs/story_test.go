package logs_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bronzehook/fault"
	"bronzehook/logs"
)

func read(t *testing.T, files ...string) []logs.Line {
	t.Helper()
	var all []logs.Line
	for _, file := range files {
		lines, leftOut, err := logs.Read("test", strings.NewReader(file))
		if err != nil || leftOut != 0 {
			t.Fatalf("%d lines left out, error %v", leftOut, err)
		}
		all = append(all, lines...)
	}
	logs.Sort(all)
	return all
}

const (
	accepted = `time=2026-01-02T02:00:01.100Z level=info message="job accepted" instance=b request=j1 took=9.9
`
	started = `time=2026-01-02T02:00:03.900Z level=info message="attempt started" attempt=1 instance=c task=j1.0.0.0 waited=100 worker=w
`
	ended = `time=2026-01-02T02:00:05.900Z level=info message="attempt ended" attempt=1 cause=failed instance=c task=j1.0.0.0
`
	shown = `time=2026-01-02T02:00:06.000Z level=info message="job ended" age_ms=4900 instance=c objective_ms=900 request=j1 state=failed
`
)

// Guards against a cause that is not the one that the lines of other jobs and of the process point to.
func TestCauseOfAWait(t *testing.T) {
	for name, c := range map[string]struct{ around, want string }{
		"duty": {
			`time=2026-01-02T02:00:03.500Z level=info message="duty claimed" epoch=2 from=a instance=c released=false unchanged=3400`,
			"the duty changed from a to c, which had seen no renewal for 3400 ms (released in order: false)",
		},
		"store, and then the duty": {
			`time=2026-01-02T02:00:02.500Z level=warn message="store lost" instance=c
time=2026-01-02T02:00:03.500Z level=info message="duty claimed" epoch=2 from=a instance=c released=false unchanged=3400`,
			"the store was away for c; the duty changed from a to c, which had seen no renewal for 3400 ms (released in order: false)",
		},
		"room": {
			`time=2026-01-02T02:00:02.500Z level=info message=fleet instance=c not_begun=12 refusals="{\"no-room\":40}"`,
			`12 jobs waited; placements refused by then: {"no-room":40}`,
		},
		"outside the wait": {
			`time=2026-01-02T02:00:09.500Z level=warn message="store lost" instance=c`, "no line tells why",
		},
	} {
		t.Run(name, func(t *testing.T) {
			story := logs.Tell("j1", read(t, c.around, accepted+started+ended+shown))
			if len(story.Waits) != 1 {
				t.Fatalf("waits: %+v", story.Waits)
			}
			if diff := cmp.Diff(c.want, story.Waits[0].Cause); diff != "" {
				t.Error(diff)
			}
			if got := story.Waits[0].Lasted; got != 2800*time.Millisecond {
				t.Errorf("waited %s; the time in which an attempt ran is no wait", got)
			}
		})
	}
}

// Guards against a task that is taken to run on while its worker is silent, and silence of workers that it is not on.
func TestSilentWorkerIsAWait(t *testing.T) {
	const placed = `time=2026-01-02T02:00:01.200Z level=info message="attempt placed" attempt=1 instance=c task=j1.0.0.0 worker=w
time=2026-01-02T02:00:01.300Z level=info message="attempt started" attempt=1 instance=c task=j1.0.0.0 worker=w
time=2026-01-02T02:00:02.000Z level=warn message="worker does not answer" instance=c worker=w
time=2026-01-02T02:00:02.000Z level=warn message="worker does not answer" instance=c worker=x
time=2026-01-02T02:00:09.000Z level=info message="attempt placed" attempt=2 instance=c task=j1.0.0.0 worker=x
`
	story := logs.Tell("j1", read(t, accepted+placed))
	if len(story.Waits) != 1 || story.Waits[0].Lasted != 7*time.Second || len(story.Lines) != 5 {
		t.Fatalf("waits %+v, lines %v", story.Waits, story.Lines)
	}
	if want := "its worker was silent, and its tasks may run there until their leases have run out"; story.Waits[0].Cause != want {
		t.Errorf("cause %q", story.Waits[0].Cause)
	}
}

// Guards against an outcome that is told wrongly, and lines of other ids that are taken for this one's.
func TestCauses(t *testing.T) {
	refused := `time=2026-01-02T02:00:01.000Z level=warn message="job refused" instance=b reason=store-unavailable request=j1
`
	other := `time=2026-01-02T02:00:01.000Z level=warn message="job refused" instance=b reason=store-unavailable request=j11
time=2026-01-02T02:00:01.000Z level=info message="attempt ended" attempt=1 cause=done instance=c task=j11.0.0.0
`
	story := logs.Tell("j1", read(t, other, refused+accepted+started+ended+shown))
	want := []string{
		"refused: store-unavailable, 1 times",
		"attempts that ended: failed, 1 times",
		"longest wait of a task for its start: 100 ms, j1.0.0.0 on w",
		`waited 2.8s after "job accepted": no line tells why`,
		"ended failed 4000 ms after its objective of 900 ms",
	}
	if diff := cmp.Diff(want, story.Causes); diff != "" {
		t.Error(diff)
	}
	if task := logs.Tell("j1.0.0.0", read(t, other, accepted+started+ended)); len(task.Lines) != 2 {
		t.Errorf("lines of the task: %v", task.Lines)
	}
}

// Guards against collectors' prefixes and cut lines that hide a log, and files that fail without their name.
func TestRead(t *testing.T) {
	lines, leftOut, err := logs.Read("x", strings.NewReader("  -9.8 front-1 "+accepted+"message=cut\n\n"))
	if err != nil || leftOut != 1 || len(lines) != 1 || lines[0].Instance != "b" {
		t.Errorf("%v, %d left out, error %v", lines, leftOut, err)
	}
	_, _, err = logs.Read("gone.log", failing{})
	var unreadable *logs.UnreadableError
	if !errors.As(err, &unreadable) || unreadable.File != "gone.log" || unreadable.Code() != fault.CodeInvalid {
		t.Errorf("error %v", err)
	}
	if got, want := lines[0].String(), "02:00:01.100 b job accepted request=j1 took=9.9"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

type failing struct{}

var errBroken = errors.New("broken")

func (failing) Read([]byte) (int, error) { return 0, errBroken }
