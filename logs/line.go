// Package logs reads the log lines of several instances and builds the timeline of one job or task from them.
package logs

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"bronzehook/fault"
)

// Line is one parsed log line.
type Line struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"`
}

// Keys of the fields that every line has.
const (
	fieldTime     = "time"
	fieldLevel    = "level"
	fieldMessage  = "message"
	fieldInstance = "instance"
)

// UnreadableError reports a log file that could not be read.
type UnreadableError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *UnreadableError) Error() string { return "log " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *UnreadableError) Code() fault.Code { return fault.CodeInvalid }

// Read returns the lines of a log file. Text before the time field, such as the prefix of a log collector, is ignored.
// Lines without a time are skipped; their number is returned.
func Read(name string, file io.Reader) (lines []Line, skipped int, err error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, 0, &UnreadableError{File: name, Cause: err}
	}
	for rawLine := range strings.Lines(string(text)) {
		if strings.TrimSpace(rawLine) == "" {
			continue
		}
		line, ok := parseLine(rawLine)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, nil
}

// parseLine parses the key=value pairs of a line, from its time field on. It reports whether the line is valid.
func parseLine(rawLine string) (Line, bool) {
	start := strings.Index(rawLine, fieldTime+"=")
	if start < 0 {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(rawLine[start:]))
	line := Line{Fields: make(map[string]string)}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.Fields[fieldTime])
	if err != nil || decoder.Err() != nil {
		return Line{}, false
	}
	line.Time, line.Message, line.Instance = timestamp, line.Fields[fieldMessage], line.Fields[fieldInstance]
	for _, key := range []string{fieldTime, fieldMessage, fieldInstance} {
		delete(line.Fields, key)
	}
	return line, true
}

// Sort sorts lines by time. Lines with equal times keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// String formats the line for people: time, instance, message, then the fields sorted by key.
func (l Line) String() string {
	keys := make([]string, 0, len(l.Fields))
	for key := range l.Fields {
		if key != fieldLevel {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, cmp.Compare[string])
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, key := range keys {
		fmt.Fprintf(&text, " %s=%s", key, l.Fields[key])
	}
	return text.String()
}
