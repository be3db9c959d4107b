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

// Messages that a story turns on.
const (
	messageRefused      = "job refused"
	messagePlaced       = "attempt placed"
	messageStarted      = "attempt started"
	messageEnded        = "attempt ended"
	messageLost         = "attempt lost"
	messageJobEnded     = "job ended"
	messageSilent       = "worker does not answer"
	messageFleet        = "fleet"
	messageDutyClaimed  = "duty claimed"
	messageDutyPaused   = "duty paused, not renewed in time"
	messageStoreLost    = "store lost"
	messageCommitFailed = "commit failed"
)

// messagesOnWorkers begin the messages that tell what is believed of a worker.
const messagesOnWorkers = "worker "

// around are messages that are not about one job and may explain why it waited.
var around = []string{
	messageDutyClaimed, "duty taken", messageDutyPaused, "duty resumed", "duty ended", messageStoreLost, "store regained",
	messageCommitFailed, "excerpt older than the term, read again", "history gone, table read whole", "manifest in force",
	"instance stopping", "instance stopped", messageFleet,
}

// Wait is a time in which nothing of a job ran, and what happened meanwhile.
type Wait struct {
	From      time.Time     `json:"from"`
	Lasted    time.Duration `json:"lasted_ns"`
	After     string        `json:"after"`
	Meanwhile []Line        `json:"meanwhile"`
	Cause     string        `json:"cause"`
}

// Story is what the lines tell about one job or task.
type Story struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Waits holds the longest waits, the longest first.
	Waits []Wait `json:"waits"`
	// Causes sums up what decided the outcome.
	Causes []string `json:"causes"`
}

const (
	// shortestWait is the least time that counts as a wait.
	shortestWait = 300 * time.Millisecond
	maxWaits     = 3
	// clockSkew is how far the times of instances may be apart.
	clockSkew = 100 * time.Millisecond
)

// Tell returns the story of a job's or a task's id. The lines have to be sorted.
func Tell(id string, lines []Line) Story {
	story := Story{ID: id}
	on := make(map[string]string)
	for _, line := range lines {
		switch {
		case about(line, id):
			story.Lines = append(story.Lines, line)
			follow(on, line)
		case strings.HasPrefix(line.Message, messagesOnWorkers) && runsOn(on, line.Fields[logging.KeyWorker]):
			story.Lines = append(story.Lines, line)
		}
	}
	story.Waits = waits(story.Lines)
	for i := range story.Waits {
		explain(&story.Waits[i], lines)
	}
	story.Causes = causes(&story)
	return story
}

func about(line Line, id string) bool {
	task := line.Fields[logging.KeyTask]
	return line.Fields[logging.KeyRequest] == id || task == id || strings.HasPrefix(task, id+".")
}

// follow keeps the worker of each attempt that may run.
func follow(on map[string]string, line Line) {
	attempt := line.Fields[logging.KeyTask] + "/" + line.Fields[logging.KeyAttempt]
	switch line.Message {
	case messagePlaced, messageStarted:
		on[attempt] = line.Fields[logging.KeyWorker]
	case messageEnded, messageLost:
		delete(on, attempt)
	case messageJobEnded:
		clear(on)
	}
}

func runsOn(on map[string]string, worker string) bool {
	for _, at := range on {
		if at == worker && worker != "" {
			return true
		}
	}
	return false
}

// waits returns the longest times between two lines in which no attempt ran, as far as anybody knew.
func waits(lines []Line) []Wait {
	running := make(map[string]string)
	var found []Wait
	for i, line := range lines {
		if i > 0 && len(running) == 0 && line.Time.Sub(lines[i-1].Time) >= shortestWait {
			before := lines[i-1]
			found = append(found, Wait{From: before.Time, Lasted: line.Time.Sub(before.Time), After: before.Message})
		}
		switch line.Message {
		case messageSilent:
			maps.DeleteFunc(running, func(_, at string) bool { return at == line.Fields[logging.KeyWorker] })
		case messagePlaced:
			// Nothing runs before the worker has answered.
		default:
			follow(running, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Wait) int { return int(b.Lasted - a.Lasted) })
	return found[:min(maxWaits, len(found))]
}

// explain adds what happened during a wait and the cause that this points to.
func explain(wait *Wait, lines []Line) {
	from, to := wait.From.Add(-clockSkew), wait.From.Add(wait.Lasted+clockSkew)
	for _, line := range lines {
		if !line.Time.Before(from) && !line.Time.After(to) && slices.Contains(around, line.Message) {
			wait.Meanwhile = append(wait.Meanwhile, line)
		}
	}
	if strings.HasPrefix(wait.After, messagesOnWorkers) {
		wait.Cause = "its worker was silent, and its tasks may run there until their leases have run out"
		return
	}
	wait.Cause = strings.Join(wait.pointers(), "; ")
	if wait.Cause == "" {
		wait.Cause = "no line tells why"
	}
}

// pointers returns what the lines of a wait point to, one for each rule. In a long wait the fleet comes first: what happened
// to the duty or the store explains a few seconds of it.
func (w *Wait) pointers() []string {
	var found []string
	for _, rule := range waitRules {
		i := slices.IndexFunc(w.Meanwhile, func(l Line) bool { return l.Message == rule.message })
		switch {
		case i < 0:
		case rule.message == messageFleet && w.Lasted > longWait:
			found = append([]string{rule.cause(w.Meanwhile[i])}, found...)
		default:
			found = append(found, rule.cause(w.Meanwhile[i]))
		}
	}
	return found
}

// longWait is longer than the duty is without a holder.
const longWait = 6 * time.Second

// waitRules are told in their order: a store that is away makes the duty lapse, which keeps everything waiting.
var waitRules = []struct {
	message string
	cause   func(Line) string
}{
	{messageStoreLost, func(l Line) string { return "the store was away for " + l.Instance }},
	{messageDutyClaimed, func(l Line) string {
		return fmt.Sprintf("the duty changed from %s to %s, which had seen no renewal for %s ms (released in order: %s)",
			l.Fields["from"], l.Instance, l.Fields["unchanged"], l.Fields["released"])
	}},
	{messageDutyPaused, func(l Line) string { return l.Instance + " could not renew the duty in time" }},
	{messageCommitFailed, func(l Line) string { return "records were not stored: " + l.Fields["error"] }},
	{messageFleet, func(l Line) string {
		return fmt.Sprintf("%s jobs waited; placements refused by then: %s", l.Fields["not_begun"], l.Fields["refusals"])
	}},
}

// causes sums up refusals, waits, failed and stopped attempts, and the end.
func causes(story *Story) []string {
	var found []string
	for _, tally := range []struct{ message, key, text string }{
		{messageRefused, logging.KeyReason, "refused"},
		{messageEnded, "cause", "attempts that ended"},
		{messageLost, logging.KeyReason, "attempts lost"},
		{"attempt to be stopped", logging.KeyReason, "attempts to be stopped"},
		{messageSilent, logging.KeyWorker, "its worker did not answer"},
	} {
		counts := make(map[string]int)
		for _, line := range story.Lines {
			if line.Message == tally.message {
				counts[line.Fields[tally.key]]++
			}
		}
		for _, value := range sortedKeys(counts) {
			found = append(found, fmt.Sprintf("%s: %s, %d times", tally.text, value, counts[value]))
		}
	}
	for _, longest := range []struct{ message, key, text string }{
		{messageStarted, "waited", "longest wait of a task for its start"},
		{messageEnded, "ran", "longest run"},
	} {
		if line, ms := maximum(story.Lines, longest.message, longest.key); ms > 0 {
			found = append(found, fmt.Sprintf("%s: %.0f ms, %s on %s", longest.text, ms, line.Fields[logging.KeyTask], line.Fields[logging.KeyWorker]))
		}
	}
	for _, wait := range story.Waits {
		found = append(found, fmt.Sprintf("waited %s after %q: %s", wait.Lasted.Round(time.Millisecond), wait.After, wait.Cause))
	}
	for _, line := range story.Lines {
		if line.Message == messageJobEnded {
			found = append(found, "ended "+line.Fields["state"]+" "+lateness(line))
		}
	}
	return found
}

// maximum returns the line of a message with the largest number under a key, and that number.
func maximum(lines []Line, message, key string) (Line, float64) {
	var at Line
	largest := 0.0
	for _, line := range lines {
		value, err := strconv.ParseFloat(line.Fields[key], 64)
		if line.Message == message && err == nil && value > largest {
			at, largest = line, value
		}
	}
	return at, largest
}

func sortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func lateness(line Line) string {
	age, errAge := strconv.ParseFloat(line.Fields["age_ms"], 64)
	objective, errObjective := strconv.ParseFloat(line.Fields["objective_ms"], 64)
	switch {
	case errAge != nil || errObjective != nil:
		return "at an age that is not told"
	case age > objective:
		return fmt.Sprintf("%.0f ms after its objective of %.0f ms", age-objective, objective)
	}
	return fmt.Sprintf("within its objective of %.0f ms, after %.0f ms", objective, age)
}
