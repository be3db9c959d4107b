package logs_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/logs"
)

// messagesOf returns the times of day, in seconds, and the messages of a timeline.
func messagesOf(timeline logs.Timeline) []string {
	var messages []string
	for _, line := range timeline.Lines {
		messages = append(messages, line.Time.Format("05 ")+line.Message)
	}
	return messages
}

// Guards against a timeline without the restart that explains why two attempts of a task ran at once.
func TestIncarnationsOfAttemptsWorkerAreInTimeline(t *testing.T) {
	const lines = `time=2026-01-02T02:00:01.000Z level=warn message="worker started again" born=7 instance=b worker=x
time=2026-01-02T02:00:05.000Z level=warn message="worker started again" born=5 instance=b worker=w
time=2026-01-02T02:00:06.000Z level=info message="attempt placed" attempt=1 instance=b task=j1.0.0.0 worker=w
time=2026-01-02T02:00:06.100Z level=info message="attempt started" attempt=1 born=5 instance=b task=j1.0.0.0 worker=w
time=2026-01-02T02:00:06.200Z level=warn message="start answered by another clock" attempt=1 instance=b task=j2.0.0.0 worker=w
time=2026-01-02T02:00:08.000Z level=warn message="worker does not answer" instance=c worker=w
time=2026-01-02T02:00:15.000Z level=warn message="attempt lost" attempt=1 born=0 instance=c reason="its lease has run out" task=j1.0.0.0 worker=w
time=2026-01-02T02:00:16.000Z level=info message="worker answers again" instance=c worker=w
time=2026-01-02T02:00:16.000Z level=warn message="orphaned attempt, stopping it" attempt=1 instance=c task=j1.0.0.0 worker=w
time=2026-01-02T02:00:17.000Z level=info message="attempt placed" attempt=2 instance=c task=j1.0.0.0 worker=y
time=2026-01-02T02:00:18.000Z level=info message="attempt ended" attempt=2 cause=done instance=c task=j1.0.0.0 worker=y
time=2026-01-02T02:00:19.000Z level=warn message="worker started again" born=8 instance=c worker=y
time=2026-01-02T02:00:31.000Z level=warn message="worker started again" born=9 instance=c worker=w
`
	timeline := logs.BuildTimeline("j1", read(t, lines))
	want := []string{
		"05 worker started again", "06 attempt placed", "06 attempt started", "06 start answered by another clock",
		"08 worker does not answer", "15 attempt lost", "16 worker answers again", "16 orphaned attempt, stopping it",
		"17 attempt placed", "18 attempt ended",
	}
	if diff := cmp.Diff(want, messagesOf(timeline)); diff != "" {
		t.Error(diff)
	}
	wantCauses := []string{
		"attempts that ended: done, 1 times", "attempts lost: its lease has run out, 1 times",
		"its worker did not answer: w, 1 times", "its worker started again: w, 1 times",
		"starts on its worker answered by another incarnation: w, 1 times",
	}
	if diff := cmp.Diff(wantCauses, timeline.Causes[:min(len(wantCauses), len(timeline.Causes))]); diff != "" {
		t.Error(diff)
	}
}

// Guards against a wait that ends at, or is blamed on, what a worker did after an attempt there was lost.
func TestLinesAfterLossDoNotSplitWait(t *testing.T) {
	const lines = `time=2026-01-02T02:00:02.000Z level=warn message="attempt lost" attempt=1 instance=c task=j1.0.0.0 worker=w
time=2026-01-02T02:00:04.000Z level=warn message="worker started again" born=5 instance=c worker=w
time=2026-01-02T02:00:09.000Z level=info message="attempt placed" attempt=2 instance=c task=j1.0.0.0 worker=x
`
	timeline := logs.BuildTimeline("j1", read(t, lines))
	if len(timeline.Lines) != 3 || len(timeline.Waits) != 1 || timeline.Waits[0].Duration != 7*time.Second {
		t.Fatalf("lines %v, waits %+v", timeline.Lines, timeline.Waits)
	}
	if got := timeline.Waits[0].AfterMessage; got != "attempt lost" {
		t.Errorf("waits after %q", got)
	}
}
