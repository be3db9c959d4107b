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
		lines, skipped, err := logs.Read("test", strings.NewReader(file))
		if err != nil || skipped != 0 {
			t.Fatalf("%d lines skipped, error %v", skipped, err)
		}
		all = append(all, lines...)
	}
	logs.Sort(all)
	return all
}

const (
	jobAccepted = `time=2026-01-02T02:00:01.100Z level=info message="job accepted" instance=b request=j1 took=9.9
`
	attemptStarted = `time=2026-01-02T02:00:03.900Z level=info message="attempt started" attempt=1 instance=c task=j1.0.0.0 waited=100 worker=w
`
	attemptEnded = `time=2026-01-02T02:00:05.900Z level=info message="attempt ended" attempt=1 cause=failed instance=c task=j1.0.0.0
`
	jobEnded = `time=2026-01-02T02:00:06.000Z level=info message="job ended" age_ms=4900 instance=c objective_ms=900 request=j1 state=failed
`
)

// Guards against a wrong cause of a wait: lines about the instance or the fleet during the wait have to name it.
func TestCauseOfAWait(t *testing.T) {
	for name, c := range map[string]struct{ events, want string }{
		"change of leader": {
			`time=2026-01-02T02:00:03.500Z level=info message="duty claimed" epoch=2 from=a instance=c released=false unchanged=3400`,
			"leadership moved from a to c, which had seen no renewal for 3400 ms (released by the former leader: false)",
		},
		"store, and then the change of leader": {
			`time=2026-01-02T02:00:02.500Z level=warn message="store lost" instance=c
time=2026-01-02T02:00:03.500Z level=info message="duty claimed" epoch=2 from=a instance=c released=false unchanged=3400`,
			"the store was unavailable to c; leadership moved from a to c, which had seen no renewal for 3400 ms (released by the former leader: false)",
		},
		"lack of capacity": {
			`time=2026-01-02T02:00:02.500Z level=info message=fleet instance=c not_begun=12 refusals="{\"no-room\":40}"`,
			`12 jobs waited; placements refused by then: {"no-room":40}`,
		},
		"event outside the wait": {
			`time=2026-01-02T02:00:09.500Z level=warn message="store lost" instance=c`, "no line tells why",
		},
	} {
		t.Run(name, func(t *testing.T) {
			timeline := logs.BuildTimeline("j1", read(t, c.events, jobAccepted+attemptStarted+attemptEnded+jobEnded))
			if len(timeline.Waits) != 1 {
				t.Fatalf("waits: %+v", timeline.Waits)
			}
			if diff := cmp.Diff(c.want, timeline.Waits[0].Cause); diff != "" {
				t.Error(diff)
			}
			if got := timeline.Waits[0].Duration; got != 2800*time.Millisecond {
				t.Errorf("waited %s; the time in which an attempt ran does not count", got)
			}
		})
	}
}

// Guards against a task that counts as running while its worker is unresponsive, and against reporting workers that the
// job does not run on.
func TestSilentWorkerIsAWait(t *testing.T) {
	const placed = `time=2026-01-02T02:00:01.200Z level=info message="attempt placed" attempt=1 instance=c task=j1.0.0.0 worker=w
time=2026-01-02T02:00:01.300Z level=info message="attempt started" attempt=1 instance=c task=j1.0.0.0 worker=w
time=2026-01-02T02:00:02.000Z level=warn message="worker does not answer" instance=c worker=w
time=2026-01-02T02:00:02.000Z level=warn message="worker does not answer" instance=c worker=x
time=2026-01-02T02:00:09.000Z level=info message="attempt placed" attempt=2 instance=c task=j1.0.0.0 worker=x
`
	timeline := logs.BuildTimeline("j1", read(t, jobAccepted+placed))
	if len(timeline.Waits) != 1 || timeline.Waits[0].Duration != 7*time.Second || len(timeline.Lines) != 5 {
		t.Fatalf("waits %+v, lines %v", timeline.Waits, timeline.Lines)
	}
	if want := "its worker did not respond, and its tasks may run there until their attempt leases expire"; timeline.Waits[0].Cause != want {
		t.Errorf("cause %q", timeline.Waits[0].Cause)
	}
}

// Guards against a wrong outcome, and against taking lines of other IDs into account.
func TestCauses(t *testing.T) {
	refused := `time=2026-01-02T02:00:01.000Z level=warn message="job refused" instance=b reason=store-unavailable request=j1
`
	other := `time=2026-01-02T02:00:01.000Z level=warn message="job refused" instance=b reason=store-unavailable request=j11
time=2026-01-02T02:00:01.000Z level=info message="attempt ended" attempt=1 cause=done instance=c task=j11.0.0.0
`
	timeline := logs.BuildTimeline("j1", read(t, other, refused+jobAccepted+attemptStarted+attemptEnded+jobEnded))
	want := []string{
		"refused: store-unavailable, 1 times",
		"attempts that ended: failed, 1 times",
		"longest wait of a task for its start: 100 ms, j1.0.0.0 on w",
		`waited 2.8s after "job accepted": no line tells why`,
		"ended failed 4000 ms after its objective of 900 ms",
	}
	if diff := cmp.Diff(want, timeline.Causes); diff != "" {
		t.Error(diff)
	}
	if task := logs.BuildTimeline("j1.0.0.0", read(t, other, jobAccepted+attemptStarted+attemptEnded)); len(task.Lines) != 2 {
		t.Errorf("lines of the task: %v", task.Lines)
	}
}

// Guards against collectors' prefixes and cut lines that make a log unreadable, and against read errors without the
// name of the file.
func TestRead(t *testing.T) {
	lines, skipped, err := logs.Read("x", strings.NewReader("  -9.8 front-1 "+jobAccepted+"message=cut\n\n"))
	if err != nil || skipped != 1 || len(lines) != 1 || lines[0].Instance != "b" {
		t.Errorf("%v, %d skipped, error %v", lines, skipped, err)
	}
	_, _, err = logs.Read("gone.log", failingReader{})
	var unreadable *logs.UnreadableError
	if !errors.As(err, &unreadable) || unreadable.File != "gone.log" || unreadable.Code() != fault.CodeInvalid {
		t.Errorf("error %v", err)
	}
	if got, want := lines[0].String(), "02:00:01.100 b job accepted request=j1 took=9.9"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// failingReader fails each read.
type failingReader struct{}

var errBroken = errors.New("broken")

func (failingReader) Read([]byte) (int, error) { return 0, errBroken }
