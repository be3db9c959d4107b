package logs

import (
	"slices"
	"time"

	"bronzehook/logging"
)

// Messages that show which incarnation of a worker answered, or when it did again.
const (
	messageWorkerRestarted   = "worker started again"
	messageStartForeignClock = "start answered by another clock"
)

var incarnationMessages = []string{
	messageWorkerRestarted, messageStartForeignClock, "worker listed with a later start", "worker answers again",
}

// incarnationWindow is how long before an attempt and after its loss lines on the incarnations of its worker belong to its
// timeline. It exceeds the longest attempt lease of a worker, which may outlast the attempt that it was granted for.
const incarnationWindow = 15 * time.Second

// attemptSpan is the time in which lines on the incarnations of a worker belong to the timeline of an attempt there.
type attemptSpan struct {
	worker   string
	from, to time.Time
}

// attemptSpans returns the spans of the attempts of a job or task. An attempt without an end lasts until the last line.
func attemptSpans(id string, lines []Line) []attemptSpan {
	var spans []attemptSpan
	open := make(map[string]int)
	closeSpan := func(attempt string, end time.Time) {
		if i, known := open[attempt]; known {
			spans[i].to = end
			delete(open, attempt)
		}
	}
	for _, line := range lines {
		if !isAbout(line, id) {
			continue
		}
		attempt, worker := attemptOf(line), line.Fields[logging.KeyWorker]
		switch line.Message {
		case messageAttemptPlaced, messageAttemptStarted, messageAttemptLost:
			if _, known := open[attempt]; !known && worker != "" {
				open[attempt] = len(spans)
				spans = append(spans, attemptSpan{worker: worker, from: line.Time.Add(-incarnationWindow), to: lines[len(lines)-1].Time})
			}
		}
		switch line.Message {
		case messageAttemptEnded:
			closeSpan(attempt, line.Time)
		case messageAttemptLost:
			closeSpan(attempt, line.Time.Add(incarnationWindow))
		case messageJobEnded:
			for other := range open {
				closeSpan(other, line.Time)
			}
		}
	}
	return spans
}

// tellsIncarnation reports whether a line shows an incarnation of a worker within a span of one of its attempts.
func tellsIncarnation(spans []attemptSpan, line Line) bool {
	return slices.Contains(incarnationMessages, line.Message) && slices.ContainsFunc(spans, func(s attemptSpan) bool {
		return s.worker == line.Fields[logging.KeyWorker] && !line.Time.Before(s.from) && !line.Time.After(s.to)
	})
}
