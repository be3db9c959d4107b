// Package ctl implements bronzehookctl, the operators' command line: its subcommands, the client of the operator API
// and the output.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// App runs one invocation of the command line.
type App struct {
	Out io.Writer
	Err io.Writer
	// Terminal reports that Err is a terminal. Progress is shown only on a terminal.
	Terminal bool
	Clock    clockwork.Clock
	// HTTP sends the requests to instances. If it is nil, a client is made from the global options.
	HTTP *http.Client
	// Measurer supplies the table of the measure subcommand. It is nil in builds without recorded traces.
	Measurer Measurer
	// DefaultAuthor is recorded as the author of changes if no option names one.
	DefaultAuthor string

	global globalOptions
	ctx    context.Context
	client *client
}

// Measurer replays the recorded traces of a site and returns the metrics of the replays. An empty site means all sites.
type Measurer interface {
	Measure(ctx context.Context, site string, seed uint64) (MeasureTable, error)
}

// MeasureTable holds the metrics of replayed traces as a table of text cells.
type MeasureTable struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

const (
	outputText = "text"
	outputJSON = "json"
)

type globalOptions struct {
	URLs    []string      `long:"operator-url" env:"BRONZEHOOK_OPERATOR_URL" env-delim:"," default:"http://127.0.0.1:8081" description:"base URL of an instance for operators; may be given several times, or separated by commas in the variable: the next one is tried if one cannot be reached"`
	Token   string        `long:"operator-token" env:"BRONZEHOOK_OPERATOR_TOKEN" description:"bearer token for the instances"`
	CA      string        `long:"operator-ca" env:"BRONZEHOOK_OPERATOR_CA" description:"PEM file with the authorities of the instances' certificates; empty means those of the machine"`
	Author  string        `long:"author" env:"BRONZEHOOK_OPERATOR_AUTHOR" description:"name of the operator, kept with each change; the name of the account by default"`
	Output  string        `long:"output" env:"BRONZEHOOK_OUTPUT" default:"text" choice:"text" choice:"json" description:"text for people, json for programs"`
	Timeout time.Duration `long:"timeout" env:"BRONZEHOOK_OPERATOR_TIMEOUT" default:"20s" description:"longest wait for the answer to one request"`
}

// exitCodeHelp lists the exit codes of package fault. It ends every help text.
var exitCodeHelp = fmt.Sprintf(`Exit codes: %d success, %d failure, %d invalid arguments or files, %d conflict with another operator, %d not found, %d an instance or the platform's table is unavailable, %d time-out.`,
	fault.ExitOK, fault.ExitFailure, fault.ExitUsage, fault.ExitConflict, fault.ExitNotFound, fault.ExitUnavailable, fault.ExitTimeout)

// subcommand describes one subcommand for the option parser.
type subcommand struct {
	name    string
	short   string
	long    string
	example string
	command any
}

func (a *App) subcommands() []subcommand {
	return []subcommand{
		{"validate", "Check the files of a folder", "Checks all files of DIR as one configuration. Nothing is recorded.", "validate work", &validateCommand{app: a}},
		{"diff", "Show what apply would change", "Compares DIR with the recorded files and lists the differences of each workload.", "diff work --prune", &diffCommand{app: a}},
		{"apply", "Record the files of a folder", applyLong, "apply work --wait", &applyCommand{app: a}},
		{"get", "List or fetch recorded files", "Lists the recorded files, prints the named ones, or writes them into a folder.", "get --into work", &getCommand{app: a}},
		{"remove", "Remove recorded files", "Removes the named files from the recorded configuration.", "remove 20-index.yaml", &removeCommand{app: a}},
		{"status", "Show the state of the fleet", "Shows instances, workers, ownership units, request floods, drains and the health of the platform's table.", "status", &statusCommand{app: a}},
		{"explain", "Explain why a workload waits", "Explains why a workload waits, which workers refused it and when it is expected to start.", "explain nightly-index", &explainCommand{app: a}},
		{"drain", "Keep new tasks off a worker", "Keeps new tasks off a worker until the drain expires.", "drain worker-17 --for 2h --reason \"disk check\"", &drainCommand{app: a}},
		{"undrain", "End the drain of a worker", "Allows new tasks on a worker again.", "undrain worker-17", &undrainCommand{app: a}},
		{"audit", "List the audit trail", "Lists who changed what, oldest event first.", "audit --since 24h", &auditCommand{app: a}},
		{"evacuations", "Show the evacuations of data centres", evacuationsLong, "evacuations --metrics-url http://10.0.0.1:9100", &evacuationsCommand{app: a}},
		{"interference", "Show how images slow each other", interferenceLong, "interference --image nightly --metrics-url http://10.0.0.1:9100", &interferenceCommand{app: a}},
		{"logs", "Build the timeline of a job or task from logs", logsLong, "logs a2bee8be2b2114f5 front-*.log", &logsCommand{app: a}},
		{"measure", "Print the metrics of the recorded traces", "Replays the recorded traces, of both sites unless one is named, and prints the four metrics of the scheduling decisions next to those of the baseline.", "measure --site tentpole", &measureCommand{app: a}},
	}
}

// Run runs the command line and returns its exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.ctx = ctx
	if a.Clock == nil {
		a.Clock = clockwork.NewRealClock()
	}
	parser, err := a.parser()
	if err != nil {
		return a.reportError(err)
	}
	_, err = parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return fault.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.Out, strings.TrimRight(flagErr.Message, "\n"))
		return fault.ExitOK
	case errors.As(err, &flagErr):
		return a.reportError(fault.New(fault.CodeInvalid, "read arguments", "%s", flagErr.Message))
	}
	return a.reportError(err)
}

func (a *App) parser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("bronzehookctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operators' command line for bronzehook"
	parser.LongDescription = "Records workload files and shows the state of a bronzehook fleet.\n\n" + exitCodeHelp
	if _, err := parser.AddGroup("Global options", "", &a.global); err != nil {
		return nil, errors.Wrap(err, "declare options")
	}
	for _, c := range a.subcommands() {
		long := c.long + "\n\nExample: bronzehookctl " + c.example + "\n\n" + exitCodeHelp
		if _, err := parser.AddCommand(c.name, c.short, long, c.command); err != nil {
			return nil, errors.Wrapf(err, "declare subcommand %s", c.name)
		}
	}
	parser.CommandHandler = a.execute
	return parser, nil
}

func (a *App) execute(command flags.Commander, args []string) error {
	if len(args) > 0 {
		return fault.New(fault.CodeInvalid, "read arguments", "unexpected argument %q", args[0])
	}
	var err error
	if a.client, err = a.newClient(); err != nil {
		return err
	}
	return command.Execute(args)
}

// requireAuthor rejects changes without an author: the audit trail names one for each change.
func (a *App) requireAuthor() error {
	if a.global.Author == "" {
		a.global.Author = a.DefaultAuthor
	}
	if a.global.Author == "" {
		return fault.New(fault.CodeInvalid, "read arguments", "--author or BRONZEHOOK_OPERATOR_AUTHOR is required for changes")
	}
	return nil
}
