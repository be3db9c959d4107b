package logging

import (
	"bytes"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a value with spaces or line breaks that splits an event into several lines or pairs.
func TestEventIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, zerolog.InfoLevel)
	logger.Info().Str(KeyReason, "two words\nand a line").Int(KeyEpoch, 7).Msg("unit claimed")
	line := out.String()
	if strings.Count(line, "\n") != 1 {
		t.Errorf("event spans several lines: %q", line)
	}
	want := `level=info message="unit claimed" epoch=7 reason="two words\nand a line"`
	if !strings.Contains(line, want) {
		t.Errorf("line %q does not contain %q", line, want)
	}
}

// Guards against a stalled reader that blocks the process, and against warnings that are dropped in a flood of other
// lines.
func TestStalledReaderDropsLinesAndKeepsWarnings(t *testing.T) {
	reader, writer := io.Pipe()
	bounded := NewBoundedWriter(writer)
	logger := New(bounded, zerolog.InfoLevel)
	started := time.Now()
	for range 20_000 {
		logger.Info().Str(KeyTask, "t").Msg("attempt placed")
	}
	logger.Warn().Msg("duty lost")
	if took := time.Since(started); took > 5*time.Second {
		t.Fatalf("writing to a stalled reader took %v", took)
	}
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		read <- string(all)
	}()
	bounded.Close()
	writer.Close()
	all := <-read
	for _, want := range []string{"duty lost", "log lines dropped"} {
		if !strings.Contains(all, want) {
			t.Errorf("the log lacks %q", want)
		}
	}
}

// Guards against a log without the change of leader, because lines about single tasks filled the buffer.
func TestFleetLinesSurviveAFloodOfTaskLines(t *testing.T) {
	var out bytes.Buffer
	bounded := NewBoundedWriter(&out)
	logger := New(bounded, zerolog.InfoLevel)
	const flood = 4 * maxDetailLinesPerSecond
	for range flood {
		logger.Info().Str(KeyTask, "t").Msg("attempt placed")
	}
	logger.Info().Int(KeyEpoch, 7).Msg("duty claimed")
	bounded.Close()
	all := out.String()
	for _, want := range []string{"duty claimed", "log lines dropped"} {
		if !strings.Contains(all, want) {
			t.Errorf("the log lacks %q", want)
		}
	}
	// The flood may extend into the next second, which has its own limit.
	if n := strings.Count(all, "attempt placed"); n < maxDetailLinesPerSecond || n > 2*maxDetailLinesPerSecond {
		t.Errorf("%d of %d lines about single tasks", n, flood)
	}
}

// Guards against values with quotes, separators or nested objects that break the pairs of a line.
func TestValuesKeepTheirShape(t *testing.T) {
	cases := map[string]struct {
		value any
		want  string
	}{
		"plain":     {"abc", "v=abc"},
		"empty":     {"", `v=""`},
		"spaces":    {"a b", `v="a b"`},
		"quote":     {`a"b`, `v="a\"b"`},
		"number":    {7, "v=7"},
		"separator": {"a,b:c", "v=a,b:c"},
		"nested":    {map[string]int{"a": 1}, `v="{\"a\":1}"`},
	}
	for name, c := range cases {
		var out bytes.Buffer
		logger := New(&out, zerolog.InfoLevel)
		logger.Info().Interface("v", c.value).Msg("m")
		if !strings.Contains(out.String(), " "+c.want+"\n") {
			t.Errorf("%s: line %q does not end with %q", name, out.String(), c.want)
		}
	}
}

// shortWriter accepts a few bytes per call and then returns EAGAIN, as a full pipe does.
type shortWriter struct {
	bytes.Buffer
	calls int
}

func (w *shortWriter) Write(p []byte) (int, error) {
	w.calls++
	n, _ := w.Buffer.Write(p[:min(len(p), 700)])
	if n < len(p) {
		return n, syscall.EAGAIN
	}
	return n, nil
}

// Guards against truncated lines: the bytes that a full pipe had not accepted were lost, from the middle of a line on.
func TestShortWriteKeepsLinesWhole(t *testing.T) {
	out := &shortWriter{}
	bounded := NewBoundedWriter(out)
	logger := New(bounded, zerolog.InfoLevel)
	const lines = 50
	for range lines {
		logger.Info().Str(KeyTask, "t").Msg("attempt placed")
	}
	bounded.Close()
	all := out.String()
	if n := strings.Count(all, " task=t\n"); n != lines || strings.Count(all, "\n") != lines {
		t.Errorf("%d complete lines of %d, want %d", n, strings.Count(all, "\n"), lines)
	}
}
