// Package logging makes the process's logger: one line of key=value pairs for each event.
package logging

import (
	"io"

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

// TimeFormat is the form of the time in each line, in UTC where the process runs so.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of key=value pairs to out.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	return zerolog.New(&lineWriter{out: out}).Level(level).With().Timestamp().Logger()
}
