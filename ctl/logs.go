package ctl

import (
	"io"
	"os"

	"bronzehook/fault"
	"bronzehook/logs"
)

const logsLong = `Puts the log lines of one job or task from the files of several instances in order, tells how long it waited, what happened meanwhile, and what decided its outcome. A FILE named - is standard input.`

// standardInput is the name of standard input among files.
const standardInput = "-"

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
		more, err := c.read(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	logs.Sort(lines)
	story := logs.Tell(c.Args.ID, lines)
	if len(story.Lines) == 0 {
		return fault.New(fault.CodeNotFound, "search logs", "no line is about %s", c.Args.ID)
	}
	return c.app.print(story, func() { c.app.printStory(story) })
}

func (c *logsCommand) read(name string) ([]logs.Line, error) {
	var file io.Reader = os.Stdin
	if name != standardInput {
		opened, err := os.Open(name)
		if err != nil {
			return nil, &logs.UnreadableError{File: name, Cause: err}
		}
		defer opened.Close()
		file = opened
	}
	lines, leftOut, err := logs.Read(name, file)
	if leftOut > 0 {
		c.app.notice("%s: %d lines without a time were left out", name, leftOut)
	}
	return lines, err
}

func (a *App) printStory(story logs.Story) {
	for _, line := range story.Lines {
		a.printf("%s\n", line)
	}
	for _, wait := range story.Waits {
		a.printf("\nwaited %s from %s, after %q:\n", wait.Lasted, wait.From.UTC().Format("15:04:05.000"), wait.After)
		for _, line := range wait.Meanwhile {
			a.printf("  %s\n", line)
		}
	}
	a.printf("\n")
	for _, cause := range story.Causes {
		a.printf("%s\n", cause)
	}
}
