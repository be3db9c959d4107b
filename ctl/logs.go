package ctl

import (
	"io"
	"os"

	"bronzehook/fault"
	"bronzehook/logs"
)

const logsLong = `Merges the log lines of one job or task from the files of several instances by time, and shows how long it waited, what happened during the waits, and what decided its outcome. A FILE named - is standard input.`

// stdinName stands for standard input in the list of files.
const stdinName = "-"

type logsCommand struct {
	app  *App
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *logsCommand) Execute([]string) error {
	var lines []logs.Line
	for _, name := range c.Args.Files {
		fileLines, err := c.readLines(name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	logs.Sort(lines)
	timeline := logs.BuildTimeline(c.Args.ID, lines)
	if len(timeline.Lines) == 0 {
		return fault.New(fault.CodeNotFound, "search logs", "no log line mentions %s", c.Args.ID)
	}
	return c.app.print(timeline, func() { c.app.printTimeline(timeline) })
}

// readLines returns the log lines of a file.
func (c *logsCommand) readLines(name string) ([]logs.Line, error) {
	var file io.Reader = os.Stdin
	if name != stdinName {
		opened, err := os.Open(name)
		if err != nil {
			return nil, &logs.UnreadableError{File: name, Cause: err}
		}
		defer opened.Close()
		file = opened
	}
	lines, skipped, err := logs.Read(name, file)
	if skipped > 0 {
		c.app.notice("%s: %d lines without a time were skipped", name, skipped)
	}
	return lines, err
}

func (a *App) printTimeline(timeline logs.Timeline) {
	for _, line := range timeline.Lines {
		a.printf("%s\n", line)
	}
	for _, wait := range timeline.Waits {
		a.printf("\nwaited %s from %s, after %q:\n", wait.Duration, wait.From.UTC().Format("15:04:05.000"), wait.AfterMessage)
		for _, line := range wait.Events {
			a.printf("  %s\n", line)
		}
	}
	a.printf("\n")
	for _, cause := range timeline.Causes {
		a.printf("%s\n", cause)
	}
}
