package ctl

import (
	"encoding/json"
	"fmt"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
	"bronzehook/operator"
)

const (
	// progressDelay is the time after which a running command starts to show its progress.
	progressDelay = 2 * time.Second
	// clearLine moves the cursor to the start of the terminal's line and erases the line.
	clearLine = "\r\x1b[K"
)

// print writes a value as JSON, or calls printText if the output is text.
func (a *App) print(value any, printText func()) error {
	if a.global.Output != outputJSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}

func (a *App) printf(format string, args ...any) { fmt.Fprintf(a.Out, format, args...) }

// notice prints a message for people to the error output. JSON output has none.
func (a *App) notice(format string, args ...any) {
	if a.global.Output == outputText {
		fmt.Fprintf(a.Err, format+"\n", args...)
	}
}

// printTable prints rows in aligned columns. The columns are separated by tabs.
func (a *App) printTable(columns string, addRows func(add func(cells ...any))) {
	writer := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, columns)
	addRows(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(writer, "\t")
			}
			fmt.Fprint(writer, cell)
		}
		fmt.Fprintln(writer)
	})
	writer.Flush()
}

// reportError prints an error and returns its exit code.
func (a *App) reportError(err error) int {
	response := operator.NewErrorResponse(err)
	var remote *RemoteError
	if errors.As(err, &remote) {
		response = remote.Response
	}
	if a.global.Output == outputJSON {
		if data, encodeErr := json.Marshal(response); encodeErr == nil {
			fmt.Fprintln(a.Err, string(data))
		}
		return fault.Describe(err).Exit
	}
	fmt.Fprintln(a.Err, "bronzehookctl:", response.Message)
	if response.Details != nil {
		a.printConflicts(response.Details.Conflicts)
	}
	return fault.Describe(err).Exit
}

func (a *App) printConflicts(conflicts []rollout.FileConflict) {
	for _, c := range conflicts {
		fmt.Fprintf(a.Err, "\n--- %s: recorded, version %d by %s\n%s", c.File, c.TheirsVersion, orNobody(c.TheirsAuthor), orAbsent(c.Theirs, c.TheirsVersion == 0))
		fmt.Fprintf(a.Err, "+++ %s: yours, made from version %d\n%s", c.File, c.BaseVersion, orAbsent(c.Mine, c.MineDeletes))
	}
	if len(conflicts) > 0 {
		fmt.Fprintln(a.Err, "\nMerge the recorded content into your files, then apply with --rebase.")
	}
}

func orNobody(author string) string {
	if author == "" {
		return "nobody"
	}
	return author
}

func orAbsent(content string, absent bool) string {
	if absent {
		return "(absent)\n"
	}
	return content
}

func (a *App) printChanges(changes []config.Change) {
	if len(changes) == 0 {
		a.printf("no difference\n")
	}
	for _, c := range changes {
		a.printf("%s %s %s\n", c.Action, c.Kind, c.Name)
		for _, f := range c.Fields {
			a.printf("  %s: %s -> %s\n", f.Field, orDash(f.From), orDash(f.To))
		}
	}
}

// count formats a number with its noun, such as "2 files".
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// progress shows on a terminal that a command is still running, once it has taken progressDelay.
type progress struct {
	mu      sync.Mutex
	label   string
	done    chan struct{}
	stopped chan struct{}
}

func (a *App) startProgress(label string) *progress {
	p := &progress{label: label, done: make(chan struct{}), stopped: make(chan struct{})}
	if !a.Terminal {
		close(p.stopped)
		return p
	}
	go p.run(a)
	return p
}

func (p *progress) setLabel(label string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.label = label
}

func (p *progress) currentLabel() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.label
}

func (p *progress) run(a *App) {
	defer close(p.stopped)
	startTime := a.Clock.Now()
	interval, shown := progressDelay, false
	for {
		select {
		case <-p.done:
			if shown {
				fmt.Fprint(a.Err, clearLine)
			}
			return
		case <-a.Clock.After(interval):
			interval, shown = time.Second, true
			fmt.Fprintf(a.Err, "%s%s, %s", clearLine, p.currentLabel(), a.Clock.Since(startTime).Round(time.Second))
		}
	}
}

func (p *progress) stop() {
	close(p.done)
	<-p.stopped
}
