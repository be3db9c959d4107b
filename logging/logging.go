// Package logging makes the process's logger: one line of key=value pairs for each event.
package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// Keys used across packages, so that one search finds an entity in all logs.
const (
	KeyInstance = "instance"
	KeyRequest  = "request"
	KeyTask     = "task"
	KeyAttempt  = "attempt"
	KeyWorker   = "worker"
	KeyUnit     = "unit"
	KeyEpoch    = "epoch"
	KeyRevision = "revision"
	KeyReason   = "reason"
)

// New returns a logger that writes lines of key=value pairs to out.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	return zerolog.New(&lineWriter{out: out}).Level(level).With().Timestamp().Logger()
}

// lineWriter turns zerolog's JSON events into key=value lines. zerolog's own ConsoleWriter prints bare level and
// message columns, which key=value tools cannot read.
type lineWriter struct{ out io.Writer }

var leadingKeys = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// Write converts one event. Write is called once for each event.
func (w *lineWriter) Write(event []byte) (int, error) {
	decoder := json.NewDecoder(bytes.NewReader(event))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return w.out.Write(event)
	}
	var line strings.Builder
	for _, key := range leadingKeys {
		if value, ok := fields[key]; ok {
			writePair(&line, key, value)
			delete(fields, key)
		}
	}
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		writePair(&line, key, fields[key])
	}
	line.WriteByte('\n')
	if _, err := io.WriteString(w.out, line.String()); err != nil {
		return 0, err
	}
	return len(event), nil
}

func writePair(line *strings.Builder, key string, value any) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(key)
	line.WriteByte('=')
	line.WriteString(formatValue(value))
}

func formatValue(value any) string {
	text, ok := value.(string)
	if !ok {
		encoded, err := json.Marshal(value)
		if err != nil {
			return strconv.Quote(err.Error())
		}
		text = string(encoded)
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		return strconv.Quote(text)
	}
	return text
}
