// Package logging creates the logger of a process, which writes one line of key=value pairs for each event.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// Keys shared by all packages, so that one search finds an entity in all logs.
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
	// KeyDataCentre is the key of the name of a data centre.
	KeyDataCentre = "data_centre"
)

// TimeFormat is the format of the time in each line. The time is in the time zone of the process.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of key=value pairs to out.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	return zerolog.New(&lineWriter{out: out}).Level(level).With().Timestamp().Logger()
}
