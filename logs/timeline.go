package logs

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzehook/logging"
)

// Messages of the log events from which causes are derived. The log texts use the word duty for leadership.
const (
	messageJobRefused         = "job refused"
	messageAttemptPlaced      = "attempt placed"
	messageAttemptStarted     = "attempt started"
	messageAttemptEnded       = "attempt ended"
	messageAttemptLost        = "attempt lost"
	messageJobEnded           = "job ended"
	messageWorkerUnresponsive = "worker does not answer"
	messageFleet              = "fleet"
	messageLeadershipClaimed  = "duty claimed"
	messageLeadershipPaused   = "duty paused, not renewed in time"
	messageStoreLost          = "store lost"
	messageCommitFailed       = "commit failed"
)

// workerMessagePrefix begins the messages about the health of a worker.
const workerMessagePrefix = "worker "

// contextMessages are messages about the fleet or an instance that may explain why a job waited.
var contextMessages = []string{
	messageLeadershipClaimed, "duty taken", messageLeadershipPaused, "duty resumed", "duty ended", messageStoreLost, "store regained",
	messageCommitFailed, "excerpt older than the term, read again", "history gone, table read whole", "manifest in force",
	"instance stopping", "instance stopped", messageFleet,
}

// Wait is a period in which no attempt of a job ran, with the events of the fleet during that period.
type Wait struct {
	From         time.Time     `json:"from"`
	Duration     time.Duration `json:"lasted_ns"`
	AfterMessage string        `json:"after"`
	Events       []Line        `json:"meanwhile"`
	Cause        string        `json:"cause"`
}

// Timeline is the timeline of one job or task.
type Timeline struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Waits holds the longest waits, longest first.
	Waits []Wait `json:"waits"`
	// Causes summarises what decided the outcome.
	Causes []string `json:"causes"`
}

const (
	// minWait is the shortest time between two lines that counts as a wait.
	minWait  = 300 * time.Millisecond
	maxWaits = 3
	// clockSkew is the largest expected difference between the clocks of two instances.
	clockSkew = 100 * time.Millisecond
)

// BuildTimeline returns the timeline of the job or task with the given ID. The lines must be sorted by time.
func BuildTimeline(id string, lines []Line) Timeline {
	timeline := Timeline{ID: id}
	workerOf := make(map[string]string)
	spans := attemptSpans(id, lines)
	// Lines on the worker from before and after an attempt neither begin nor end a wait.
	var lifecycle []Line
	for _, line := range lines {
		switch {
		case isAbout(line, id):
			lifecycle = append(lifecycle, line)
			trackWorker(workerOf, line)
		case strings.HasPrefix(line.Message, workerMessagePrefix) && hasAttemptOn(workerOf, line.Fields[logging.KeyWorker]):
			lifecycle = append(lifecycle, line)
		case !tellsIncarnation(spans, line):
			continue
		}
		timeline.Lines = append(timeline.Lines, line)
	}
	timeline.Waits = findWaits(lifecycle)
	for i := range timeline.Waits {
		addCause(&timeline.Waits[i], lines)
	}
	timeline.Causes = summarise(&timeline)
	return timeline
}

// isAbout reports whether a line is about the job or task, or about a task of the job.
func isAbout(line Line, id string) bool {
	task := line.Fields[logging.KeyTask]
	return line.Fields[logging.KeyRequest] == id || task == id || strings.HasPrefix(task, id+".")
}

// trackWorker updates the worker of each attempt that may be running.
func trackWorker(workerOf map[string]string, line Line) {
	attempt := attemptOf(line)
	switch line.Message {
	case messageAttemptPlaced, messageAttemptStarted:
		workerOf[attempt] = line.Fields[logging.KeyWorker]
	case messageAttemptEnded, messageAttemptLost:
		delete(workerOf, attempt)
	case messageJobEnded:
		clear(workerOf)
	}
}

// attemptOf returns the key of the attempt that a line is about.
func attemptOf(line Line) string {
	return line.Fields[logging.KeyTask] + "/" + line.Fields[logging.KeyAttempt]
}

// hasAttemptOn reports whether an attempt may be running on the worker.
func hasAttemptOn(workerOf map[string]string, worker string) bool {
	for _, attemptWorker := range workerOf {
		if attemptWorker == worker && worker != "" {
			return true
		}
	}
	return false
}

// findWaits returns the longest periods between two lines in which no attempt was known to run.
func findWaits(lines []Line) []Wait {
	runningOn := make(map[string]string)
	var waits []Wait
	for i, line := range lines {
		if i > 0 && len(runningOn) == 0 && line.Time.Sub(lines[i-1].Time) >= minWait {
			previous := lines[i-1]
			waits = append(waits, Wait{From: previous.Time, Duration: line.Time.Sub(previous.Time), AfterMessage: previous.Message})
		}
		switch line.Message {
		case messageWorkerUnresponsive:
			maps.DeleteFunc(runningOn, func(_, worker string) bool { return worker == line.Fields[logging.KeyWorker] })
		case messageAttemptPlaced:
			// A placed attempt runs only after the worker has confirmed its start.
		default:
			trackWorker(runningOn, line)
		}
	}
	slices.SortStableFunc(waits, func(a, b Wait) int { return int(b.Duration - a.Duration) })
	return waits[:min(maxWaits, len(waits))]
}

// addCause adds the events during a wait and the cause that they suggest.
func addCause(wait *Wait, lines []Line) {
	from, to := wait.From.Add(-clockSkew), wait.From.Add(wait.Duration+clockSkew)
	for _, line := range lines {
		if !line.Time.Before(from) && !line.Time.After(to) && slices.Contains(contextMessages, line.Message) {
			wait.Events = append(wait.Events, line)
		}
	}
	if strings.HasPrefix(wait.AfterMessage, workerMessagePrefix) {
		wait.Cause = "its worker did not respond, and its tasks may run there until their attempt leases expire"
		return
	}
	wait.Cause = strings.Join(wait.probableCauses(), "; ")
	if wait.Cause == "" {
		wait.Cause = "no line tells why"
	}
}

// probableCauses returns the causes that the events of a wait suggest, one for each matching rule. In a long wait the
// fleet summary comes first, because a change of leader or a store failure explains only a few seconds of it.
func (w *Wait) probableCauses() []string {
	var causes []string
	for _, rule := range causeRules {
		i := slices.IndexFunc(w.Events, func(line Line) bool { return line.Message == rule.message })
		switch {
		case i < 0:
		case rule.message == messageFleet && w.Duration > longWait:
			causes = append([]string{rule.cause(w.Events[i])}, causes...)
		default:
			causes = append(causes, rule.cause(w.Events[i]))
		}
	}
	return causes
}

// longWait is longer than the time for which a change of leader leaves the fleet without a leader.
const longWait = 6 * time.Second

// causeRules map messages to causes and are reported in this order. A store failure comes first: it makes the
// leadership lease expire, and then no job is scheduled.
var causeRules = []struct {
	message string
	cause   func(Line) string
}{
	{messageStoreLost, func(l Line) string { return "the store was unavailable to " + l.Instance }},
	{messageLeadershipClaimed, func(l Line) string {
		return fmt.Sprintf("leadership moved from %s to %s, which had seen no renewal for %s ms (released by the former leader: %s)",
			l.Fields["from"], l.Instance, l.Fields["unchanged"], l.Fields["released"])
	}},
	{messageLeadershipPaused, func(l Line) string { return l.Instance + " could not renew its leadership lease in time" }},
	{messageCommitFailed, func(l Line) string { return "job records were not stored: " + l.Fields["error"] }},
	{messageFleet, func(l Line) string {
		return fmt.Sprintf("%s jobs waited; placements refused by then: %s", l.Fields["not_begun"], l.Fields["refusals"])
	}},
}

// summarise returns one line each for refusals, terminated and stopped attempts, the longest start delay and attempt,
// the waits, and the end of the job.
func summarise(timeline *Timeline) []string {
	var summary []string
	for _, tally := range []struct{ message, key, text string }{
		{messageJobRefused, logging.KeyReason, "refused"},
		{messageAttemptEnded, "cause", "attempts that ended"},
		{messageAttemptLost, logging.KeyReason, "attempts lost"},
		{"attempt to be stopped", logging.KeyReason, "attempts to be stopped"},
		{messageWorkerUnresponsive, logging.KeyWorker, "its worker did not answer"},
		{messageWorkerRestarted, logging.KeyWorker, "its worker started again"},
		{messageStartForeignClock, logging.KeyWorker, "starts on its worker answered by another incarnation"},
	} {
		counts := make(map[string]int)
		for _, line := range timeline.Lines {
			if line.Message == tally.message {
				counts[line.Fields[tally.key]]++
			}
		}
		for _, value := range sortedKeys(counts) {
			summary = append(summary, fmt.Sprintf("%s: %s, %d times", tally.text, value, counts[value]))
		}
	}
	for _, longest := range []struct{ message, key, text string }{
		{messageAttemptStarted, "waited", "longest wait of a task for its start"},
		{messageAttemptEnded, "ran", "longest attempt"},
	} {
		if line, ms := lineWithLargest(timeline.Lines, longest.message, longest.key); ms > 0 {
			summary = append(summary, fmt.Sprintf("%s: %.0f ms, %s on %s", longest.text, ms, line.Fields[logging.KeyTask], line.Fields[logging.KeyWorker]))
		}
	}
	for _, wait := range timeline.Waits {
		summary = append(summary, fmt.Sprintf("waited %s after %q: %s", wait.Duration.Round(time.Millisecond), wait.AfterMessage, wait.Cause))
	}
	for _, line := range timeline.Lines {
		if line.Message == messageJobEnded {
			summary = append(summary, "ended "+line.Fields["state"]+" "+lateness(line))
		}
	}
	return summary
}

// lineWithLargest returns the line of a message with the largest number under a key, and that number.
func lineWithLargest(lines []Line, message, key string) (Line, float64) {
	var largestLine Line
	largest := 0.0
	for _, line := range lines {
		value, err := strconv.ParseFloat(line.Fields[key], 64)
		if line.Message == message && err == nil && value > largest {
			largestLine, largest = line, value
		}
	}
	return largestLine, largest
}

func sortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// lateness compares the age of an ended job with its objective.
func lateness(line Line) string {
	age, errAge := strconv.ParseFloat(line.Fields["age_ms"], 64)
	objective, errObjective := strconv.ParseFloat(line.Fields["objective_ms"], 64)
	switch {
	case errAge != nil || errObjective != nil:
		return "at an unknown age"
	case age > objective:
		return fmt.Sprintf("%.0f ms after its objective of %.0f ms", age-objective, objective)
	}
	return fmt.Sprintf("within its objective of %.0f ms, after %.0f ms", objective, age)
}
