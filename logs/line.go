// Package logs reads the log lines of several instances and tells what happened to one job or task.
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

// Line is one line of a log.
type Line struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"`
}

// Names of the fields that every line has.
const (
	fieldTime     = "time"
	fieldLevel    = "level"
	fieldMessage  = "message"
	fieldInstance = "instance"
)

// UnreadableError reports a file that could not be read.
type UnreadableError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *UnreadableError) Error() string { return "log " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *UnreadableError) Code() fault.Code { return fault.CodeInvalid }

// Read returns the lines of a file. What stands before the time of a line, as collectors put it there, is skipped; lines
// without a time are left out, and their number is returned.
func Read(name string, file io.Reader) (lines []Line, leftOut int, err error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, 0, &UnreadableError{File: name, Cause: err}
	}
	for raw := range strings.Lines(string(text)) {
		if strings.TrimSpace(raw) == "" {
			continue
		}
		line, ok := parse(raw)
		if !ok {
			leftOut++
			continue
		}
		lines = append(lines, line)
	}
	return lines, leftOut, nil
}

func parse(raw string) (Line, bool) {
	start := strings.Index(raw, fieldTime+"=")
	if start < 0 {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(raw[start:]))
	line := Line{Fields: make(map[string]string)}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields[fieldTime])
	if err != nil || decoder.Err() != nil {
		return Line{}, false
	}
	line.Time, line.Message, line.Instance = at, line.Fields[fieldMessage], line.Fields[fieldInstance]
	for _, key := range []string{fieldTime, fieldMessage, fieldInstance} {
		delete(line.Fields, key)
	}
	return line, true
}

// Sort orders lines by time. Lines of one time stay in their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// String returns the line as people read it: time, instance, message, fields by name.
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
